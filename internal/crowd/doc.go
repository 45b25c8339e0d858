// Package crowd tests a node process against crowds of clients that don't behave, on loopback addresses and with small
// limits.
package crowd
