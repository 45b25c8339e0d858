// Package trace reconstructs the trace of one request from the log lines of the nodes that handled it.
//
// Usage:
//
//	lines, unreadable, err := trace.Read(file)
//	s := trace.Collect("9c41d07be2a35f68", lines)
//	s.Write(os.Stdout)
//
// Clocks of VMs differ, so timestamps of different nodes are not compared. The log line of the edge lists its attempts
// in order, and each attempt is followed by the log line of the agent that received it.
package trace
