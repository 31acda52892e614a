// Package overload refuses new flows of an overloaded service, so that the requests that are admitted are answered in
// time instead of waiting in queues that are too long.
//
// A Gate refuses a SYN with a probability that rises with the response time to expect, and only as far as the answers
// that this entry VM observed are late as well. Less urgent routes are refused first, and callers that the gate has
// just refused are preferred to others. Without fresh knowledge, every SYN is admitted.
package overload
