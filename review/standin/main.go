// Command standin plays one case of the review: it starts nodes of the project as separate processes, with stand-ins of
// their clients, instances and platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is when a case that still runs is given up.
const maxTime = 115 * time.Second

// The exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// scenario plays a case; trouble tells whether the disruption takes place. It returns how often the rule was broken.
type scenario func(f *fleet, trouble bool) (broken int, err error)

var scenarios = map[string]scenario{
	"unknown-leaver": playUnknownLeaver,
	"leave-at-stop":  playLeaveAtStop,
	"lost-answers":   playLostAnswers,
	"poison":         playPoison,
	"silence":        playSilence,
	"cut-reply":      playCutReply,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return notRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	f, err := newFleet(r)
	if err != nil {
		r.printf("the case can't run: %v", err)
		return notRun
	}
	defer f.close()
	ended := make(chan int, 1)
	go func() { ended <- f.judge(scenarios[os.Args[1]]) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-ended:
		return code
	case <-stop:
	case <-time.After(maxTime):
	}
	r.printf("the case was stopped")
	return notRun
}

// judge plays the case and returns the exit code.
func (f *fleet) judge(s scenario) int {
	broken, err := s(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.record.printf("the case can't run: %v", err)
		return notRun
	case broken > 0:
		f.record.printf("the rule was broken %d times", broken)
		return ruleBroken
	}
	f.record.printf("the rule held")
	return ruleHeld
}
