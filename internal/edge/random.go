package edge

import (
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// errNoTarget means that no candidate can take the request.
var errNoTarget = eris.New("no target of the service takes requests; send again later")

// randomPicker chooses a random serving candidate that was not tried yet; it is the default Picker.
type randomPicker struct{}

// Pick implements Picker.
func (randomPicker) Pick(r PickRequest) (Choice, error) {
	n := len(r.Service.Candidates)
	if n == 0 {
		return Choice{}, errNoTarget
	}
	first := rand.IntN(n)
	for i := range n {
		c := r.Service.Candidates[(first+i)%n]
		if c.Target.State == model.TargetServing && !slices.Contains(r.Tried, c.Target.Ref) {
			return Choice{Candidate: c}, nil
		}
	}
	return Choice{}, errNoTarget
}

// Done implements Picker; it does nothing.
func (randomPicker) Done(Choice, Load) {}
