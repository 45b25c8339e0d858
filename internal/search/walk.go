package search

// History is one path through a model.
type History struct {
	Steps   []string
	Problem string
}

// Walk follows the steps that choose selects by index among the labels. It ends when choose returns a negative number,
// when the state has no successor, or when the state fails its check.
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
