// Package overload refuses new flows of an overloaded service, so that the requests that are admitted are answered in
// time instead of waiting in queues that are too long.
//
// A Gate limits the requests in flight through one entry VM to each service. By Little's law, the limit is the rate of
// answers multiplied by the time that they may take, and it is never below what the slots of the servers hold. Requests on
// open flows count, too, although they cannot be refused. Less urgent routes are refused first. Without fresh answers,
// every SYN is admitted.
package overload
