// Command standin-platform stands in for the configuration service of the platform in the demo and in measurements.
//
// It serves GET /documents/{inventory|rules}?after=VERSION&wait=SECONDS&era=ERA and GET /vms, accepts publications at
// POST /publish/{inventory|rules}, and POST /switch/{down|old|slow|restored}?value=VALUE turns faults on and off. With a
// directory, it publishes the files inventory.json, rules.json and vms.json whenever they change.
//
// It exits with 0 after SIGINT or SIGTERM, with 1 when the HTTP server failed, and with 2 for unknown options.
package main
