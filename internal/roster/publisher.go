package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// writeTimeout bounds one write; a store that takes longer is slow or unreachable.
const writeTimeout = 2 * time.Second

// eraTable is a table that knows the latest era of its store.
type eraTable interface{ Era() uint64 }

// PublisherConfig configures a Publisher; Table and Key are required.
type PublisherConfig struct {
	Table          Table
	Partition, Key string
	Logger         log.Logger
}

// Publisher keeps the row of this process at the last published value and retries failed writes.
type Publisher struct {
	config   PublisherConfig
	backoff  backoff
	cancel   context.CancelFunc
	group    conc.WaitGroup
	writeDue notify.Signal

	mu      sync.Mutex
	row     *OwnedRow
	pending *WriteCmd
	// changed is closed and replaced whenever the row has changed.
	changed chan struct{}
}

// NewPublisher starts a publisher; it writes nothing before the first call of Publish.
func NewPublisher(c PublisherConfig) *Publisher {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	p := &Publisher{config: c, row: NewOwnedRow(c.Partition, c.Key), writeDue: notify.New(), changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.group.Go(func() { p.run(ctx) })
	return p
}

// Publish sets the value that the row should have and returns its revision without waiting for the write.
func (p *Publisher) Publish(value []byte) (revision uint64) {
	return p.update(SetValueMsg{Value: value})
}

// ObserveRow takes a row that a watch returned; rows of other nodes are ignored.
func (p *Publisher) ObserveRow(row Row) {
	if row.Part == p.config.Partition && row.Key == p.config.Key {
		p.update(ObservedMsg{Row: row})
	}
}

// BeginEra takes the row as the store holds it in an era, with version 0 if it does not exist. A published value that the
// store has lost is written again with the next call of Publish.
func (p *Publisher) BeginEra(era uint64, row Row) {
	p.update(EraMsg{Era: era, Row: row})
}

// Await waits until the row holds the value of the revision or a later one. It fails with the error of the context when
// that ends first.
func (p *Publisher) Await(ctx context.Context, revision uint64) error {
	for {
		p.mu.Lock()
		stored, changed := p.row.StoredRevision() >= revision, p.changed
		p.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Stored reports whether the row holds the published value.
func (p *Publisher) Stored() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.row.Revision() > 0 && p.row.StoredRevision() >= p.row.Revision()
}

// Flush waits until the row holds the published value or the context ends.
func (p *Publisher) Flush(ctx context.Context) error {
	p.mu.Lock()
	revision := p.row.Revision()
	p.mu.Unlock()
	return p.Await(ctx, revision)
}

// Close stops the publisher and leaves the row in the table.
func (p *Publisher) Close() {
	p.cancel()
	p.group.Wait()
}

// update applies a message and returns the revision of the desired value.
func (p *Publisher) update(msg OwnedRowMsg) (revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.row.StoredRevision()
	if cmd := p.row.Update(msg); cmd != nil {
		p.pending = cmd
		p.writeDue.Raise()
	}
	if p.row.StoredRevision() != before {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return p.row.Revision()
}

func (p *Publisher) takePending() *WriteCmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.pending
	p.pending = nil
	return cmd
}

func (p *Publisher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.writeDue:
		}
		if cmd := p.takePending(); cmd != nil {
			if cmd.Backoff {
				timer.Sleep(ctx, p.backoff.next())
			}
			p.update(p.write(ctx, cmd))
		}
	}
}

func (p *Publisher) write(ctx context.Context, cmd *WriteCmd) OwnedRowMsg {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	era := uint64(0)
	if table, tells := p.config.Table.(eraTable); tells {
		era = table.Era()
	}
	version, err := p.config.Table.Write(ctx, cmd.Row, cmd.Expected)
	var conflict *ConflictError
	switch {
	case err == nil:
		p.backoff.reset()
		_ = level.Info(p.config.Logger).Log("msg", "row written", "key", cmd.Row.Key, "version", version, "bytes", len(cmd.Row.Value))
		return WrittenMsg{Value: cmd.Row.Value, Version: version, Revision: cmd.Revision, Era: era}
	case errors.As(err, &conflict):
		p.backoff.reset()
		return ConflictMsg{Current: conflict.Current}
	default:
		if p.backoff.failures == 0 {
			_ = level.Warn(p.config.Logger).Log("msg", "row not written", "key", cmd.Row.Key, "expected", cmd.Expected, "err", err)
		}
		return WriteFailedMsg{}
	}
}
