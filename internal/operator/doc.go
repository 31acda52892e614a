// Package operator is the HTTP interface of an entry VM for its operators.
//
// GET /status returns a Status, GET /flow?protocol=&source=&destination= a Flow, and POST /drain starts a graceful
// shutdown and returns a Drain; all are JSON. A request that cannot be served is answered with a status code and one line
// of text.
package operator
