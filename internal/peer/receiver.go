package peer

import (
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/rotisserie/eris"
)

// Empty is the argument of methods without arguments.
type Empty struct{}

// receiver implements the methods that every node serves under the name Peer.
//
// net/rpc requires exported methods and argument types; the argument types are those of package member.
type receiver struct{ peer *Peer }

// Echo returns immediately, so that callers can detect an unresponsive connection.
func (r *receiver) Echo(Empty, *Empty) error { return nil }

// Sync handles the request that starts anti-entropy.
func (r *receiver) Sync(request member.SyncRequest, reply *member.SyncReply) error {
	cmds := r.peer.update(member.SyncRequestMsg{Now: r.peer.config.Clock.Now(), Request: request})
	response, ok := extractCmd[member.SyncReplyCmd](r.peer, cmds)
	*reply = response.Reply
	return requestError(ok)
}

// Fetch stores the records of the request and returns the requested ones.
func (r *receiver) Fetch(request member.FetchRequest, reply *member.FetchReply) error {
	cmds := r.peer.update(member.FetchRequestMsg{Now: r.peer.config.Clock.Now(), Request: request})
	response, ok := extractCmd[member.FetchReplyCmd](r.peer, cmds)
	*reply = response.Reply
	return requestError(ok)
}

// extractCmd returns the command of type T and executes the others.
func extractCmd[T member.Cmd](p *Peer, cmds []member.Cmd) (T, bool) {
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

func requestError(ok bool) error {
	if !ok {
		return eris.Wrap(ErrMalformed, "request refused")
	}
	return nil
}
