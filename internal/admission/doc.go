// Package admission bounds the flows and the extra packets that one entry VM takes on.
//
// A Gate counts open flows for each service, refuses new ones when the flow table is full or a service takes more than
// its equal share of a table that is nearly full, and holds the budgets for retries and search probes. Retries earn
// their tokens from new flows that were admitted and stop while hosts are overloaded, and probes have a fixed rate, so
// neither can amplify an overload.
package admission
