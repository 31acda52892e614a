// Package settings has the settings of an entry VM that forwards by token.
package settings
