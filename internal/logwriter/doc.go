// Package logwriter writes log lines to a file without blocking the caller.
//
// A Writer drops and counts the lines that the file does not accept in time and the lines above a rate limit, because
// packets must not wait for the reader of the log. The next line that is written is preceded by a line with the number
// of dropped lines.
package logwriter
