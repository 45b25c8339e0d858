package peer

import (
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/rotisserie/eris"
)

// Empty is the argument of methods that need none.
type Empty struct{}

// receiver holds the methods that every node serves under the name Peer.
//
// net/rpc requires exported methods and argument types; the argument types are those of the membership module.
type receiver struct{ peer *Peer }

// Echo answers at once, so that callers can tell a silent connection.
func (r *receiver) Echo(Empty, *Empty) error { return nil }

// Sync answers the opening of anti-entropy.
func (r *receiver) Sync(request member.SyncRequest, reply *member.SyncReply) error {
	cmds := r.peer.update(member.SyncRequestMsg{Now: r.peer.config.Clock.Now(), Request: request})
	answer, ok := takeCmd[member.SyncReplyCmd](r.peer, cmds)
	*reply = answer.Reply
	return answered(ok)
}

// Fetch takes over and returns records.
func (r *receiver) Fetch(request member.FetchRequest, reply *member.FetchReply) error {
	cmds := r.peer.update(member.FetchRequestMsg{Now: r.peer.config.Clock.Now(), Request: request})
	answer, ok := takeCmd[member.FetchReplyCmd](r.peer, cmds)
	*reply = answer.Reply
	return answered(ok)
}

// takeCmd returns the command of the type T and carries out the others.
func takeCmd[T member.Cmd](p *Peer, cmds []member.Cmd) (T, bool) {
	var taken T
	found := false
	rest := cmds[:0]
	for _, cmd := range cmds {
		if c, ok := cmd.(T); ok {
			taken, found = c, true
			continue
		}
		rest = append(rest, cmd)
	}
	p.execute(rest)
	return taken, found
}

func answered(ok bool) error {
	if !ok {
		return eris.Wrap(ErrMalformed, "request refused")
	}
	return nil
}
