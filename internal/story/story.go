package story

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Trace is what happened to one request and to the calls that it made.
type Trace struct {
	ID string
	// EdgeLines are the lines of edges; there is one unless a node refused the request while it stopped.
	EdgeLines []Line
	// AgentLines are the lines of agents.
	AgentLines []Line
	Nested     []Trace
}

// Collect collects the lines of a request. The id of a call is that of its request, a dot and a part of its own.
func Collect(id string, lines []Line) Trace {
	s := Trace{ID: id}
	calls := make(map[string][]Line)
	for _, line := range lines {
		switch rest, isCall := strings.CutPrefix(line.ID, id+"."); {
		case line.ID == id && line.Msg == MsgRelayed:
			s.AgentLines = append(s.AgentLines, line)
		case line.ID == id:
			s.EdgeLines = append(s.EdgeLines, line)
		case isCall:
			name, _, _ := strings.Cut(rest, ".")
			calls[name] = append(calls[name], line)
		}
	}
	names := make([]string, 0, len(calls))
	for name := range calls {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s.Nested = append(s.Nested, Collect(id+"."+name, calls[name]))
	}
	return s
}

// Found reports whether any line names the request.
func (s *Trace) Found() bool {
	return len(s.EdgeLines)+len(s.AgentLines)+len(s.Nested) > 0
}

// Write prints the story; it fails when the writer does.
func (s *Trace) Write(w io.Writer) error {
	var b strings.Builder
	s.tell(&b, "")
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *Trace) tell(b *strings.Builder, indent string) {
	fmt.Fprintf(b, "%srequest %s\n", indent, s.ID)
	runs := slices.Clone(s.AgentLines)
	for _, line := range s.EdgeLines {
		for _, try := range line.Attempts {
			tellTry(b, indent, try)
			runs = tellRun(b, indent, try.Target, runs)
		}
		tellAnswer(b, indent, line)
	}
	// Runs without an attempt belong to an edge whose log is missing, for example because it was killed.
	for _, run := range runs {
		fmt.Fprintf(b, "%s  no edge reports this one:\n", indent)
		tellRelayed(b, indent, run)
	}
	for i := range s.Nested {
		s.Nested[i].tell(b, indent+"    ")
	}
}

func tellTry(b *strings.Builder, indent string, try Attempt) {
	fmt.Fprintf(b, "%s  asked %s for target %s: %s after %s", indent, try.Node, try.Target, try.Result, try.Duration)
	if try.Patience != "" {
		fmt.Fprintf(b, ", ready to wait %s", try.Patience)
	}
	if try.Forced {
		b.WriteString(", although it is doubtful")
	}
	b.WriteByte('\n')
}

// tellRun prints the first run at the target and returns the others.
func tellRun(b *strings.Builder, indent, target string, runs []Line) []Line {
	i := slices.IndexFunc(runs, func(l Line) bool { return l.Target == target })
	if i < 0 {
		fmt.Fprintf(b, "%s    the agent has no line of it: it was not reached, or its log is missing\n", indent)
		return runs
	}
	tellRelayed(b, indent, runs[i])
	return slices.Delete(runs, i, i+1)
}

func tellRelayed(b *strings.Builder, indent string, run Line) {
	fmt.Fprintf(b, "%s    %s, target %s: %s status %d, waited %s, ran %s, load %s, class %s", indent, run.Node, run.Target, run.Outcome,
		run.Status, run.Waited, run.Ran, run.Load, run.Class)
	if run.Reason != "" {
		fmt.Fprintf(b, ", because %s", run.Reason)
	}
	b.WriteByte('\n')
}

func tellAnswer(b *strings.Builder, indent string, line Line) {
	fmt.Fprintf(b, "%s  %s answered %d (%s) after %s at %s; route %s, service %s, configuration %d, members %s old", indent, line.Node,
		line.Status, line.Outcome, line.Duration, line.Time, line.Route, line.Service, line.Configuration, line.MembersAge)
	if line.Reason != "" {
		fmt.Fprintf(b, ", because %s", line.Reason)
	}
	b.WriteByte('\n')
}
