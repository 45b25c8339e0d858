// Package spool writes log lines without ever blocking the writer of a line.
//
// Usage:
//
//	s := spool.New(spool.Config{Out: os.Stdout})
//	defer s.Close()
//	logger := log.NewJSONLogger(s.Ordinary())
//	failures := log.NewJSONLogger(s.Important())
//
// Lines wait in a bounded buffer. When it fills, ordinary lines are dropped first; a line tells how many were lost.
package spool
