// Package story tells what happened to one request from the log lines of the nodes that it crossed.
//
// Usage:
//
//	lines, unreadable := story.Read(file)
//	s := story.Of("9c41d07be2a35f68", lines)
//	s.Write(os.Stdout)
//
// Clocks of VMs differ, so that times of two nodes are not compared. The line of the edge lists its attempts in their order,
// and each attempt is followed by the line of the agent that took it.
package story
