package config

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// minSecretLength makes the fleet secret as strong as the HMAC that it keys.
	minSecretLength = 32
	// minTokenLength prevents guessing the operator token over the network.
	minTokenLength = 16
	// maxShutdownTimeout is the longest time that a VM gets to drain when it is replaced.
	maxShutdownTimeout = time.Hour
	maxSeeds           = 64
	// maxAcceptedSecrets bounds the cost of a datagram that none of the secrets authenticates.
	maxAcceptedSecrets = 3
)

// Validate reports all errors in the settings as strict.Problems.
func (s *Settings) Validate() error {
	return s.problems().Err()
}

func (s *Settings) problems() strict.Problems {
	var p strict.Problems
	s.Node.check(&p)
	s.Listeners.check(&p)
	s.checkSeeds(&p)
	s.checkSecrets(&p)
	if s.TLS != nil {
		s.TLS.check(&p)
	}
	s.Platform.check(&p)
	s.checkShutdownAndLog(&p)
	return p
}

func (n NodeIdentity) check(p *strict.Problems) {
	checkName(p, "node.id", n.ID)
	checkName(p, "node.region", n.Region)
	checkName(p, "node.failure-domain", n.FailureDomain)
}

func (l Listeners) check(p *strict.Problems) {
	taken := make(map[string]string)
	for _, listener := range []struct{ field, address string }{
		{"listeners.callers", l.Callers},
		{"listeners.relay", l.Relay},
		{"listeners.peers", l.Peers},
		{"listeners.local", l.Local},
		{"listeners.admin", l.Admin},
	} {
		if !checkAddress(p, listener.field, listener.address) {
			continue
		}
		if other, used := taken[listener.address]; used {
			p.Add(listener.field, "use a different port for each listener", "address %s is already used by %s", listener.address, other)
			continue
		}
		taken[listener.address] = listener.field
	}
	l.checkLocal(p)
}

// checkLocal requires a loopback address because the heartbeats of targets carry no secret.
func (l Listeners) checkLocal(p *strict.Problems) {
	host, _, err := net.SplitHostPort(l.Local)
	if err != nil || host == "localhost" {
		return
	}
	if address, err := netip.ParseAddr(host); err != nil || !address.IsLoopback() {
		p.Add("listeners.local", "use 127.0.0.1 or [::1] as the host", "%s is not a loopback address", host)
	}
}

func (s *Settings) checkSeeds(p *strict.Problems) {
	if len(s.Seeds) > maxSeeds {
		p.Add("seeds", "keep at most 64; a few per region are enough", "%d seeds are listed", len(s.Seeds))
		return
	}
	for i, seed := range s.Seeds {
		field := "seeds[" + strconv.Itoa(i) + "]"
		if checkAddress(p, field, seed) && slices.Contains(s.Seeds[:i], seed) {
			p.Add(field, "list each seed once", "address %s is listed twice", seed)
		}
	}
}

func (s *Settings) checkSecrets(p *strict.Problems) {
	checkSecret(p, "fleet-secret", s.FleetSecret, minSecretLength)
	checkSecret(p, "operator-token", s.OperatorToken, minTokenLength)
	if s.FleetSecret != "" && s.FleetSecret == s.OperatorToken {
		p.Add("operator-token", "generate a separate token", "the token equals the fleet secret")
	}
	checkAccepted(p, "accepted-fleet-secrets", s.FleetSecret, s.AcceptedFleetSecrets, minSecretLength)
	checkAccepted(p, "accepted-operator-tokens", s.OperatorToken, s.AcceptedOperatorTokens, minTokenLength)
}

// checkAccepted checks the secrets that the node accepts in addition to its own.
func checkAccepted(p *strict.Problems, field, own string, accepted []string, length int) {
	if len(accepted) > maxAcceptedSecrets {
		p.Add(field, "list only the secrets of one rotation", "%d secrets are listed, at most %d are allowed", len(accepted), maxAcceptedSecrets)
		return
	}
	for i, value := range accepted {
		item := field + "[" + strconv.Itoa(i) + "]"
		checkSecret(p, item, value, length)
		if value == own || slices.Contains(accepted[:i], value) {
			p.Add(item, "list each secret once, and not the one that the node uses itself", "the value is used twice")
		}
	}
}

func (t *TLS) check(p *strict.Problems) {
	readable := true
	for _, file := range []struct{ field, path string }{
		{"tls.certificate", t.Certificate},
		{"tls.key", t.Key},
		{"tls.authority", t.Authority},
	} {
		if file.path == "" {
			p.Add(file.field, "name a PEM file, or remove the whole tls section", "the field is missing")
			readable = false
			continue
		}
		if _, err := strict.ReadFile(file.path, strict.MaxSize); err != nil {
			p.Add(file.field, "create the file or correct the path", "the file can't be read: %v", err)
			readable = false
		}
	}
	if readable {
		t.checkContents(p)
	}
}

func (t *TLS) checkContents(p *strict.Problems) {
	if _, err := tls.LoadX509KeyPair(t.Certificate, t.Key); err != nil {
		p.Add("tls.certificate", "name the PEM files of one certificate and of its key", "certificate and key can't be used: %v", err)
	}
	data, err := strict.ReadFile(t.Authority, strict.MaxSize)
	if err != nil || !x509.NewCertPool().AppendCertsFromPEM(data) {
		p.Add("tls.authority", "name the PEM file of the authority that signed the certificates of all nodes", "the file holds no certificate")
	}
}

func (f Platform) check(p *strict.Problems) {
	checkEndpoint(p, "platform.table-endpoint", f.TableEndpoint)
	checkEndpoint(p, "platform.object-endpoint", f.ObjectEndpoint)
	for _, required := range []struct{ field, value string }{
		{"platform.access-key-id", f.AccessKeyID},
		{"platform.secret-access-key", f.SecretAccessKey},
		{"platform.table", f.Table},
		{"platform.bucket", f.Bucket},
	} {
		if required.value == "" {
			p.Add(required.field, "set the value that the platform's administrators gave you", "the field is missing")
		}
	}
}

func (s *Settings) checkShutdownAndLog(p *strict.Problems) {
	timeout := time.Duration(s.ShutdownTimeout)
	if timeout <= 0 || timeout > maxShutdownTimeout {
		p.Add("shutdown-timeout", "choose more than 0s and at most 1h", "invalid value %s", timeout)
	}
	levels := []Level{LevelDebug, LevelInfo, LevelWarn, LevelError}
	if !slices.Contains(levels, s.LogLevel) {
		p.Add("log-level", "use debug, info, warn or error", "unknown level %q", s.LogLevel)
	}
}

func checkName(p *strict.Problems, field, name string) {
	if name == "" {
		p.Add(field, "use "+model.NameRule, "the field is missing")
		return
	}
	if !model.ValidName(name) {
		p.Add(field, "use "+model.NameRule, "invalid name %q", name)
	}
}

// checkAddress rejects unspecified IP addresses and port 0, because the node publishes the address to other nodes.
func checkAddress(p *strict.Problems, field, address string) bool {
	const remedy = "write the host and port by which others reach the listener, for example 10.0.0.5:7400"
	if address == "" {
		p.Add(field, remedy, "the field is missing")
		return false
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		p.Add(field, remedy, "invalid address %q", address)
		return false
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		p.Add(field, "use a port from 1 to 65535", "invalid port %q", port)
		return false
	}
	if ip, err := netip.ParseAddr(host); err == nil && ip.IsUnspecified() {
		p.Add(field, remedy, "%s stands for all interfaces and can't be announced", host)
		return false
	}
	return true
}

func checkSecret(p *strict.Problems, field, value string, length int) {
	if value == "" {
		p.Add(field, "set "+field+" or "+field+"-file", "the field is missing")
		return
	}
	if len(value) < length {
		p.Add(field, "generate at least "+strconv.Itoa(length)+" random characters", "the value has %d characters", len(value))
	}
}

func checkEndpoint(p *strict.Problems, field, text string) {
	const remedy = "write a URL such as https://tables.example:8443"
	if text == "" {
		p.Add(field, remedy, "the field is missing")
		return
	}
	endpoint, err := url.Parse(text)
	if err != nil || endpoint.Host == "" || (endpoint.Scheme != "http" && endpoint.Scheme != "https") {
		p.Add(field, remedy, "invalid endpoint %q", text)
	}
}

// Validate reports all errors in the platform settings as strict.Problems.
func (f Platform) Validate() error {
	var p strict.Problems
	f.check(&p)
	return p.Err()
}
