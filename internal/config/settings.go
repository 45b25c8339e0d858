package config

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Defaults of optional settings.
const (
	// DefaultShutdownTimeout is how long a node waits for requests in flight after SIGTERM.
	DefaultShutdownTimeout = 60 * time.Second
	// DefaultLogLevel is the level below which log lines are dropped.
	DefaultLogLevel = LevelInfo
	// DefaultPlatformRegion is the region name in request signatures to the platform.
	DefaultPlatformRegion = "us-east-1"
)

// Level is the lowest severity of log lines that are written.
type Level string

// The log levels.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Settings holds the contents of the settings file of one node.
type Settings struct {
	Node            NodeIdentity `yaml:"node"`
	Listeners       Listeners    `yaml:"listeners"`
	Seeds           []string     `yaml:"seeds,omitempty"`
	FleetSecret     string       `yaml:"fleet-secret,omitempty"`
	FleetSecretFile string       `yaml:"fleet-secret-file,omitempty"`
	// AcceptedFleetSecrets are further secrets that other nodes may use while the fleet secret is rotated.
	AcceptedFleetSecrets     []string `yaml:"accepted-fleet-secrets,omitempty"`
	AcceptedFleetSecretFiles []string `yaml:"accepted-fleet-secret-files,omitempty"`
	OperatorToken            string   `yaml:"operator-token,omitempty"`
	OperatorTokenFile        string   `yaml:"operator-token-file,omitempty"`
	// AcceptedOperatorTokens are further tokens that operators may use while the operator token is rotated.
	AcceptedOperatorTokens     []string       `yaml:"accepted-operator-tokens,omitempty"`
	AcceptedOperatorTokenFiles []string       `yaml:"accepted-operator-token-files,omitempty"`
	TLS                        *TLS           `yaml:"tls,omitempty"`
	Platform                   Platform       `yaml:"platform"`
	ShutdownTimeout            model.Duration `yaml:"shutdown-timeout,omitempty"`
	LogLevel                   Level          `yaml:"log-level,omitempty"`
}

// NodeIdentity holds the ID of a node and its location.
type NodeIdentity struct {
	ID            string `yaml:"id"`
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure-domain"`
}

// Listeners holds the addresses, as `host:port`, on which the node listens and at which others reach it.
type Listeners struct {
	Callers string `yaml:"callers"`
	Relay   string `yaml:"relay"`
	Peers   string `yaml:"peers"`
	Local   string `yaml:"local"`
	Admin   string `yaml:"admin"`
}

// TLS holds the paths of the PEM files for mutual TLS between nodes.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Platform holds the endpoints, credentials and names for the table service and the object store.
type Platform struct {
	TableEndpoint   string `yaml:"table-endpoint"`
	ObjectEndpoint  string `yaml:"object-endpoint"`
	Region          string `yaml:"region,omitempty"`
	AccessKeyID     string `yaml:"access-key-id"`
	SecretAccessKey string `yaml:"secret-access-key"`
	Table           string `yaml:"table"`
	Bucket          string `yaml:"bucket"`
}

// Self returns the description of the node that it publishes to the fleet.
func (s *Settings) Self(incarnation uint64) model.Node {
	return model.Node{
		Ref:           model.NodeRef{ID: s.Node.ID, Incarnation: incarnation},
		Domain:        s.Node.FailureDomain,
		Region:        s.Node.Region,
		PeerAddress:   s.Listeners.Peers,
		RelayAddress:  s.Listeners.Relay,
		CallerAddress: s.Listeners.Callers,
	}
}

func (s *Settings) setDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	if s.Platform.Region == "" {
		s.Platform.Region = DefaultPlatformRegion
	}
}
