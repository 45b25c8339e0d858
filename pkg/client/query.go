package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Query asks for the outcome of an earlier request without sending it again. The fleet never reports not-run here,
// because a send may still be in transit; to get the answer itself, call Do with the key.
func (c *Client) Query(ctx context.Context, key string) (model.Answer, error) {
	address := c.baseURL() + model.PathKeys + url.PathEscape(key)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return model.Answer{}, eris.Wrapf(err, "client: key %q is not valid in a URL", key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.nextEdge()
		return model.Answer{}, eris.Wrap(err, "client: the outcome query failed; retry it")
	}
	defer func() { _ = response.Body.Close() }()
	c.storeToken(response.Header.Get(model.HeaderOwner))
	outcome := model.Outcome(response.Header.Get(model.HeaderOutcome))
	if outcome == "" {
		return model.Answer{}, eris.Errorf("client: status %d without an outcome header; check that Config.Edges are nodes of the fleet", response.StatusCode)
	}
	return model.Answer{Outcome: outcome}, nil
}
