package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/wake"
)

// writeTimeout bounds one write; a store that takes longer is slow or away.
const writeTimeout = 2 * time.Second

// PublisherConfig describes the row; Table and Key are required.
type PublisherConfig struct {
	Table          Table
	Partition, Key string
	Logger         log.Logger
}

// Publisher keeps the row of this process at the value that was published last.
type Publisher struct {
	config PublisherConfig
	pauses pauses
	cancel context.CancelFunc
	group  conc.WaitGroup
	due    wake.Signal

	mu      sync.Mutex
	own     *Own
	next    *WriteCmd
	settled chan struct{}
}

// NewPublisher starts a publisher that writes nothing before Publish.
func NewPublisher(c PublisherConfig) *Publisher {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	p := &Publisher{config: c, own: NewOwn(c.Partition, c.Key), due: wake.New(), settled: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.group.Go(func() { p.run(ctx) })
	return p
}

// Publish sets the value that the row is to have.
func (p *Publisher) Publish(value []byte) {
	p.update(WantMsg{Value: value})
}

// ObserveRow takes the row as a watch has shown it.
func (p *Publisher) ObserveRow(row Row) {
	if row.Part == p.config.Partition && row.Key == p.config.Key {
		p.update(SeenMsg{Row: row})
	}
}

// Flush waits until the row holds the published value or the context ends.
func (p *Publisher) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		stored := p.own.Stored()
		p.mu.Unlock()
		if stored {
			return
		}
		select {
		case <-ctx.Done():
		case <-p.settled:
		}
	}
}

// Close ends the publisher; the row stays.
func (p *Publisher) Close() {
	p.cancel()
	p.group.Wait()
}

func (p *Publisher) update(msg OwnMsg) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd := p.own.Update(msg); cmd != nil {
		p.next = cmd
		p.due.Raise()
	}
	if p.own.Stored() {
		select {
		case p.settled <- struct{}{}:
		default:
		}
	}
}

func (p *Publisher) take() *WriteCmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.next
	p.next = nil
	return cmd
}

func (p *Publisher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.due:
		}
		if cmd := p.take(); cmd != nil {
			if cmd.After {
				timer.Sleep(ctx, p.pauses.next())
			}
			p.update(p.write(ctx, cmd))
		}
	}
}

func (p *Publisher) write(ctx context.Context, cmd *WriteCmd) OwnMsg {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := p.config.Table.Write(ctx, cmd.Row, cmd.Expected)
	var conflict *ConflictError
	switch {
	case err == nil:
		p.pauses.reset()
		_ = level.Info(p.config.Logger).Log("msg", "row written", "key", cmd.Row.Key, "version", version, "bytes", len(cmd.Row.Value))
		return WrittenMsg{Value: cmd.Row.Value, Version: version}
	case errors.As(err, &conflict):
		p.pauses.reset()
		return ConflictMsg{Current: conflict.Current}
	default:
		if p.pauses.failures == 0 {
			_ = level.Warn(p.config.Logger).Log("msg", "row not written", "key", cmd.Row.Key, "expected", cmd.Expected, "err", err)
		}
		return FailedMsg{}
	}
}
