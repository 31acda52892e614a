// Package settings defines the settings of an entry VM in token mode.
package settings
