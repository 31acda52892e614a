// Package settings decodes the JSON settings file of the daemon and validates the settings before the process starts.
//
// The fields of the file are those of the struct Settings, with names in kebab-case. Unknown and repeated fields are
// refused. Each error names the file, the field and the allowed values.
package settings
