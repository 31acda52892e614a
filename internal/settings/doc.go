// Package settings reads the settings of the daemon from JSON and validates them before the process starts.
//
// The file has the kebab-case names of the struct Settings. Unknown and repeated fields are refused, and every error names
// the file, the field and what is allowed there.
package settings
