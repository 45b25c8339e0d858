package trace

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Trace holds the log lines of one request and of its nested calls.
type Trace struct {
	ID string
	// EdgeLines are the log lines of edges; there is one unless a node refused the request during its shutdown.
	EdgeLines []Line
	// AgentLines are the log lines of agents.
	AgentLines []Line
	Nested     []Trace
}

// Collect builds the trace of a request. The ID of a nested call is the ID of its parent, a dot and a suffix.
func Collect(id string, lines []Line) Trace {
	s := Trace{ID: id}
	nested := make(map[string][]Line)
	for _, line := range lines {
		switch rest, isNested := strings.CutPrefix(line.ID, id+"."); {
		case line.ID == id && line.Msg == MsgRelayed:
			s.AgentLines = append(s.AgentLines, line)
		case line.ID == id:
			s.EdgeLines = append(s.EdgeLines, line)
		case isNested:
			name, _, _ := strings.Cut(rest, ".")
			nested[name] = append(nested[name], line)
		}
	}
	names := make([]string, 0, len(nested))
	for name := range nested {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s.Nested = append(s.Nested, Collect(id+"."+name, nested[name]))
	}
	return s
}

// Found reports whether any line belongs to the request.
func (s *Trace) Found() bool {
	return len(s.EdgeLines)+len(s.AgentLines)+len(s.Nested) > 0
}

// Write writes the trace as indented text.
func (s *Trace) Write(w io.Writer) error {
	var b strings.Builder
	s.format(&b, "")
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *Trace) format(b *strings.Builder, indent string) {
	fmt.Fprintf(b, "%srequest %s\n", indent, s.ID)
	agentLines := slices.Clone(s.AgentLines)
	for _, line := range s.EdgeLines {
		for _, attempt := range line.Attempts {
			formatAttempt(b, indent, attempt)
			agentLines = formatAgentLineOf(b, indent, attempt.Target, agentLines)
		}
		formatEdgeLine(b, indent, line)
	}
	// Agent lines without an attempt belong to an edge whose log is missing, for example because it was killed.
	for _, line := range agentLines {
		fmt.Fprintf(b, "%s  no log line of an edge lists this attempt:\n", indent)
		formatAgentLine(b, indent, line)
	}
	for i := range s.Nested {
		s.Nested[i].format(b, indent+"    ")
	}
}

func formatAttempt(b *strings.Builder, indent string, attempt Attempt) {
	fmt.Fprintf(b, "%s  asked %s for target %s: %s after %s", indent, attempt.Node, attempt.Target, attempt.Result, attempt.Duration)
	if attempt.Patience != "" {
		fmt.Fprintf(b, ", ready to wait %s", attempt.Patience)
	}
	if attempt.Forced {
		b.WriteString(", although the target is probably unhealthy")
	}
	if attempt.Left != "" {
		fmt.Fprintf(b, ", left for the tier %s because of %s", attempt.Tier, attempt.Left)
	}
	b.WriteByte('\n')
}

// formatAgentLineOf formats the first agent line of the target and returns the remaining lines.
func formatAgentLineOf(b *strings.Builder, indent, target string, agentLines []Line) []Line {
	i := slices.IndexFunc(agentLines, func(l Line) bool { return l.Target == target })
	if i < 0 {
		fmt.Fprintf(b, "%s    no log line of the agent: it was not reached, or its log is missing\n", indent)
		return agentLines
	}
	formatAgentLine(b, indent, agentLines[i])
	return slices.Delete(agentLines, i, i+1)
}

func formatAgentLine(b *strings.Builder, indent string, line Line) {
	fmt.Fprintf(b, "%s    %s, target %s: %s status %d, waited %s, ran %s, load %s, class %s", indent, line.Node, line.Target, line.Outcome,
		line.Status, line.Waited, line.Ran, line.Load, line.Class)
	if line.Reason != "" {
		fmt.Fprintf(b, ", because %s", line.Reason)
	}
	b.WriteByte('\n')
}

func formatEdgeLine(b *strings.Builder, indent string, line Line) {
	fmt.Fprintf(b, "%s  %s answered %d (%s) after %s at %s; route %s, service %s, configuration %d, members %s old", indent, line.Node,
		line.Status, line.Outcome, line.Duration, line.Time, line.Route, line.Service, line.Configuration, line.MembersAge)
	if line.Reason != "" {
		fmt.Fprintf(b, ", because %s", line.Reason)
	}
	b.WriteByte('\n')
}
