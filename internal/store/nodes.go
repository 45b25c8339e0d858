package store

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// RegisterInterval is the time between two registrations of a running node; 670 nodes cause one write per 5 s.
	RegisterInterval = time.Hour
	// registryLifetime is how long a registry row is valid after the last registration.
	// The table service deletes the row by its attribute `expires`, often a day late, so readers check the age as well.
	registryLifetime = 24 * time.Hour
)

// registration is a decoded registry row; at is the time of the last registration.
type registration struct {
	node model.Node
	at   uint64
}

// RegisterNode writes the registry row of the node.
// It fails with StaleIncarnationError when a later incarnation is registered.
func (s *Store) RegisterNode(ctx context.Context, n model.Node) error {
	data, err := cbor.Marshal(n)
	if err != nil {
		return eris.Wrap(err, "encode the node")
	}
	item := key(partitionNode, n.Ref.ID)
	now := s.seconds()
	item[attrNumber], item[attrBody] = number(n.Ref.Incarnation), binary(data)
	item[attrAt], item[attrExpires] = number(now), number(now+uint64(registryLifetime/time.Second))
	err = s.tableService.write(ctx, "register the node", func(ctx context.Context) error {
		_, err := s.table.PutItem(ctx, &dynamodb.PutItemInput{
			TableName: &s.names.Table, Item: item,
			ConditionExpression:       aws.String("attribute_not_exists(#pk) OR #number <= :own"),
			ExpressionAttributeNames:  map[string]string{"#pk": attrPartition, "#number": attrNumber},
			ExpressionAttributeValues: row{":own": number(n.Ref.Incarnation)},
		})
		return err
	})
	return staleIncarnationOr(err, n.Ref)
}

// RemoveNode deletes the registry row of the node unless a later incarnation is registered.
func (s *Store) RemoveNode(ctx context.Context, ref model.NodeRef) error {
	err := s.tableService.write(ctx, "remove the node", func(ctx context.Context) error {
		_, err := s.table.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName: &s.names.Table, Key: key(partitionNode, ref.ID),
			ConditionExpression:       aws.String("attribute_not_exists(#pk) OR #number <= :own"),
			ExpressionAttributeNames:  map[string]string{"#pk": attrPartition, "#number": attrNumber},
			ExpressionAttributeValues: row{":own": number(ref.Incarnation)},
		})
		return err
	})
	return staleIncarnationOr(err, ref)
}

// Nodes returns the registered nodes, the most recently registered first.
// Rows that can't be decoded are left out; the error reports them and is returned together with the other nodes.
func (s *Store) Nodes(ctx context.Context) ([]model.Node, error) {
	var registered []registration
	var damaged []error
	var start row
	for {
		output, err := s.queryNodes(ctx, start)
		if err != nil {
			return nil, err
		}
		for _, item := range output.Items {
			r, err := decodeNode(item)
			if err != nil {
				damaged = append(damaged, err)
				continue
			}
			registered = append(registered, r)
		}
		if start = output.LastEvaluatedKey; len(start) == 0 {
			return s.latestFirst(registered), errors.Join(damaged...)
		}
	}
}

// latestFirst drops expired registrations and sorts the others by time, the latest first.
func (s *Store) latestFirst(registered []registration) []model.Node {
	oldest := s.seconds() - min(s.seconds(), uint64(registryLifetime/time.Second))
	slices.SortStableFunc(registered, func(a, b registration) int { return cmp.Compare(b.at, a.at) })
	nodes := make([]model.Node, 0, len(registered))
	for _, r := range registered {
		if r.at >= oldest {
			nodes = append(nodes, r.node)
		}
	}
	return nodes
}

func (s *Store) queryNodes(ctx context.Context, start row) (output *dynamodb.QueryOutput, err error) {
	err = s.tableService.read(ctx, "read the node registry", func(ctx context.Context) (err error) {
		output, err = s.table.Query(ctx, &dynamodb.QueryInput{
			TableName:                 &s.names.Table,
			ExclusiveStartKey:         start,
			KeyConditionExpression:    aws.String("#pk = :pk"),
			ExpressionAttributeNames:  map[string]string{"#pk": attrPartition},
			ExpressionAttributeValues: row{":pk": text(partitionNode)},
		})
		return err
	})
	return output, err
}

func decodeNode(r row) (registration, error) {
	body, ok := r[attrBody].(*types.AttributeValueMemberB)
	if !ok {
		return registration{}, eris.Errorf("the registry row of node %s has no body; remedy: delete the row", r.text(attrSort))
	}
	at, err := r.number(attrAt)
	if err != nil {
		return registration{}, err
	}
	var n model.Node
	if err := cbor.Unmarshal(body.Value, &n); err != nil {
		return registration{}, eris.Wrapf(err, "decode the registry row of node %s; remedy: delete the row", r.text(attrSort))
	}
	return registration{node: n, at: at}, nil
}

func staleIncarnationOr(err error, ref model.NodeRef) error {
	var stale *types.ConditionalCheckFailedException
	if errors.As(err, &stale) {
		return &StaleIncarnationError{Node: ref}
	}
	return err
}
