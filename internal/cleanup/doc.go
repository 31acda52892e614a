// Package cleanup undoes the steps of a start in the reverse order.
package cleanup
