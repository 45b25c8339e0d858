package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const snapshotPrefix = "snapshots/"

// snapshotKey decreases as the number increases, so that a listing starts with the latest snapshot.
func snapshotKey(number uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, math.MaxUint64-number)
}

// SaveSnapshot stores a configuration unless it exists; equal configurations have equal bytes, so a retry is safe.
func (s *Store) SaveSnapshot(ctx context.Context, c *model.Configuration) error {
	data, err := ticket.EncodeConfiguration(c)
	if err != nil {
		return eris.Wrap(err, "encode the snapshot")
	}
	name := snapshotKey(c.Number)
	exists, err := s.hasObject(ctx, name)
	if err != nil || exists {
		return err
	}
	return s.objectService.write(ctx, "save a snapshot", func(ctx context.Context) error {
		_, err := s.objects.PutObject(ctx, &s3.PutObjectInput{
			Bucket: &s.names.Bucket, Key: &name, Body: bytes.NewReader(ticket.Compress(data)),
		})
		return err
	})
}

// Snapshot returns the latest stored configuration; it fails with NotFoundError when there is none.
func (s *Store) Snapshot(ctx context.Context) (*model.Configuration, error) {
	name, err := s.latestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	var data []byte
	err = s.objectService.read(ctx, "read a snapshot", func(ctx context.Context) (err error) {
		data, err = s.readObject(ctx, name)
		return err
	})
	if err != nil {
		return nil, err
	}
	if data, err = ticket.Decompress(data); err != nil {
		return nil, eris.Wrapf(err, "snapshot %s; remedy: delete the object, the tickets hold the same content", name)
	}
	c, err := ticket.DecodeConfiguration(data)
	if err != nil {
		return nil, eris.Wrapf(err, "snapshot %s; remedy: delete the object, the tickets hold the same content", name)
	}
	if snapshotKey(c.Number) != name {
		return nil, eris.Errorf("snapshot %s holds number %d; remedy: delete the object", name, c.Number)
	}
	return c, nil
}

// TicketsAfter returns the tickets after the number, or the latest snapshot and the tickets after it if many follow.
// It returns at most MaxBatch tickets; the caller asks again for the rest. It usually takes one read.
func (s *Store) TicketsAfter(ctx context.Context, after uint64) (ticket.BatchMsg, error) {
	batch := ticket.BatchMsg{Source: ticket.Platform}
	var err error
	batch.Tickets, err = s.Tickets(ctx, after, ticket.SnapshotEvery+1)
	if err != nil || len(batch.Tickets) <= ticket.SnapshotEvery {
		return batch, err
	}
	c, err := s.Snapshot(ctx)
	if err != nil || c.Number <= after {
		// The snapshot is unreadable or not newer; the tickets alone lead to the same configuration.
		return batch, nil
	}
	batch.Snapshot = c
	batch.Tickets, err = s.Tickets(ctx, c.Number, MaxBatch)
	return batch, err
}

// Configuration returns the configuration after the last accepted ticket.
func (s *Store) Configuration(ctx context.Context) (*model.Configuration, error) {
	c := &model.Configuration{}
	for {
		batch, err := s.TicketsAfter(ctx, c.Number)
		if err != nil {
			return nil, err
		}
		if batch.Snapshot == nil && len(batch.Tickets) == 0 {
			return c, nil
		}
		if batch.Snapshot != nil {
			c = batch.Snapshot
		}
		for _, t := range batch.Tickets {
			if t.Number != c.Number+1 {
				return nil, eris.Errorf("ticket %d is missing in the table; remedy: restore the row from a backup", c.Number+1)
			}
			c = ticket.Apply(c, t)
		}
	}
}

func (s *Store) hasObject(ctx context.Context, name string) (bool, error) {
	err := s.objectService.read(ctx, "look for a snapshot", func(ctx context.Context) error {
		_, err := s.objects.HeadObject(ctx, &s3.HeadObjectInput{Bucket: &s.names.Bucket, Key: &name})
		return err
	})
	var missing *types.NotFound
	if errors.As(err, &missing) {
		return false, nil
	}
	return err == nil, err
}

func (s *Store) latestSnapshot(ctx context.Context) (string, error) {
	var output *s3.ListObjectsV2Output
	err := s.objectService.read(ctx, "list snapshots", func(ctx context.Context) (err error) {
		output, err = s.objects.ListObjectsV2(ctx, &s3.ListObjectsV2Input{
			Bucket: &s.names.Bucket, Prefix: aws.String(snapshotPrefix), MaxKeys: aws.Int32(1),
		})
		return err
	})
	if err != nil {
		return "", err
	}
	if len(output.Contents) == 0 {
		return "", &NotFoundError{What: "snapshot"}
	}
	return aws.ToString(output.Contents[0].Key), nil
}

func (s *Store) readObject(ctx context.Context, name string) (data []byte, err error) {
	output, err := s.objects.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.names.Bucket, Key: &name})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, output.Body.Close()) }()
	return io.ReadAll(io.LimitReader(output.Body, maxObject))
}
