// Package spool writes log lines in the background, so that a slow output never blocks the code that logs.
//
// Usage:
//
//	s := spool.New(spool.Config{Out: os.Stdout})
//	defer s.Close()
//	logger := log.NewJSONLogger(s.Ordinary())
//	failures := log.NewJSONLogger(s.Important())
//
// Lines are held in a bounded buffer. When it fills up, ordinary lines are dropped first; a log line reports how many
// lines were dropped.
package spool
