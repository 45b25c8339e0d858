// Package check finds what is wrong with a configuration before it is sent, and what it changes.
package check
