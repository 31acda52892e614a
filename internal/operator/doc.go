// Package operator provides the HTTP interface of an entry VM for operators and collectors.
//
// GET /status returns a Status and GET /flow?protocol=&source=&destination= a Flow. POST /drain starts a graceful
// shutdown and returns a Drain. These responses are JSON. GET /metrics returns the metrics in the Prometheus text
// exposition format. GET /live returns status 200, and GET /ready returns 200 or 503. The response to an invalid
// request is a status code and one line of text.
package operator
