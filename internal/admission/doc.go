// Package admission limits the flows and the extra packets that one entry VM handles.
//
// A Gate counts the open flows of each service and refuses new flows when the flow table is full. When the table is
// nearly full, it also refuses new flows of a service that has reached its equal share of the table. A Gate also holds
// the budgets for retries and for probes, which are the packets with which the flow table searches for the host of a
// flow or checks an old connection. Each new flow that is not a retry adds a share of a retry to the budget, which also
// grows at a small fixed rate. Retries stop while hosts are overloaded, and probes have a fixed rate, so neither can
// amplify an overload.
package admission
