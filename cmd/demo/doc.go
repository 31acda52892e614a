// Command demo runs a complete site on loopback addresses: platform, fabric, entry VMs, backend servers and callers,
// each as a process. It adds, drains, replaces and kills processes while flows are open, and prints how the flows
// ended. It takes the role of the operators; no component of the system starts processes.
//
// It exits with 0 when every check succeeded, with 1 when a flow broke or another check failed, and with 2 for invalid
// options.
package main
