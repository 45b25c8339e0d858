package store

import (
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/ratelimit"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/syntax"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	// DefaultTimeout bounds one attempt. A ticket must be in force within 6 s. A reader waits up to 1 s before it reads,
	// then reads the head row and the ticket within 2 s each, which leaves 1 s for gossip.
	DefaultTimeout = 2 * time.Second
	// DefaultAttempts is the number of attempts of one call, including the first.
	DefaultAttempts = 2
	// maxBackoff bounds the delay between attempts.
	maxBackoff = 250 * time.Millisecond
	// maxConnections bounds the open connections to each service.
	maxConnections = 8
	idleTimeout    = 90 * time.Second
)

// Config configures a Store; Platform is required.
type Config struct {
	Platform config.Platform
	// Timeout bounds one attempt; 0 means DefaultTimeout.
	Timeout time.Duration
	// Attempts is the number of attempts of one call; 0 means DefaultAttempts.
	Attempts int
	// Clock drives the breakers; nil means the system clock.
	Clock timer.Service
}

// Store is the client of the platform; it is safe for concurrent use.
type Store struct {
	table         *dynamodb.Client
	objects       *s3.Client
	names         config.Platform
	clock         timer.Service
	tableService  *service
	objectService *service
}

// New returns a client without opening a connection. It fails when an endpoint, a credential or a name is missing.
func New(c Config) (*Store, error) {
	if err := c.Platform.Validate(); err != nil {
		return nil, eris.Wrap(err, "platform settings")
	}
	c.setDefaults()
	keys := credentials.NewStaticCredentialsProvider(c.Platform.AccessKeyID, c.Platform.SecretAccessKey, "")
	return &Store{
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(c.Platform.TableEndpoint),
			Region:       c.Platform.Region,
			Credentials:  keys,
			HTTPClient:   c.newHTTPClient(),
			Retryer:      c.newRetryer(),
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint:               aws.String(c.Platform.ObjectEndpoint),
			Region:                     c.Platform.Region,
			Credentials:                keys,
			HTTPClient:                 c.newHTTPClient(),
			Retryer:                    c.newRetryer(),
			UsePathStyle:               true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
		names:         c.Platform,
		clock:         c.Clock,
		tableService:  newService("table", c.Clock),
		objectService: newService("object store", c.Clock),
	}, nil
}

func (c *Config) setDefaults() {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Attempts == 0 {
		c.Attempts = DefaultAttempts
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	if c.Platform.Region == "" {
		c.Platform.Region = config.DefaultPlatformRegion
	}
}

// newHTTPClient ignores proxies from the environment, because the endpoints come from the settings only.
func (c *Config) newHTTPClient() *http.Client {
	return &http.Client{
		Timeout: c.Timeout,
		Transport: syntax.Transport{RoundTripper: PlainBodies{&http.Transport{
			DialContext:         (&net.Dialer{Timeout: c.Timeout}).DialContext,
			TLSHandshakeTimeout: c.Timeout,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleTimeout,
		}}},
	}
}

// newRetryer retries only what the service refused or did not answer; all writes of this package are safe to retry.
func (c *Config) newRetryer() aws.Retryer {
	return retry.NewStandard(func(o *retry.StandardOptions) {
		o.MaxAttempts = c.Attempts
		o.MaxBackoff = maxBackoff
		o.RateLimiter = ratelimit.None
	})
}
