// Command measure runs seeded scenarios on a simulated site and prints one line of figures for each scenario and
// policy. All times are virtual, so every run of a commit prints the same figures.
//
// It exits with 0 when no run of a safe policy violated safety, even if targets were missed, with 1 when one did, and
// with 2 for invalid options.
package main
