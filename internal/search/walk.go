package search

// History is a walk through a model.
type History struct {
	Steps   []string
	Problem string
}

// Walk takes steps that choose picks among the labels until it returns a negative number, there is no step, or the
// state is wrong.
func Walk[S any](m Model[S], choose func(labels []string) int) History {
	s, h := m.Initial(), History{}
	for h.Problem == "" {
		var labels []string
		var states []S
		m.Next(s, func(label func() string, next S) {
			labels, states = append(labels, label()), append(states, next)
		})
		if len(states) == 0 {
			return h
		}
		i := choose(labels)
		if i < 0 {
			return h
		}
		s = states[i]
		h.Steps = append(h.Steps, labels[i])
		h.Problem = m.Check(s)
	}
	return h
}
