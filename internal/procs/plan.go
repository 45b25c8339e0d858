package procs

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Ports of the processes; each node and the platform stand-in have their own IP address.
const (
	callersPort       = 8080
	peersPort         = 7401
	relayPort         = 7402
	localPort         = 7403
	adminPort         = 7404
	tablePort         = 7001
	objectPort        = 7002
	controlPort       = 7003
	targetPort        = 9000
	targetControlPort = 9500
)

const (
	ticketFile      = "ticket-1.yaml"
	accessKey       = "standin"
	secretKey       = "standin-secret"
	platformName    = "auburnwinch"
	shutdownTimeout = 20 * time.Second
	fileMode        = 0o600
)

// PlanConfig configures a plan.
type PlanConfig struct {
	// Programs is the directory of the compiled binaries.
	Programs string
	// Directory is where settings, keys, records and logs are written.
	Directory string
	// Network is the second byte of all loopback addresses, 127.<network>.x.y.
	Network int
	// TargetsPerService defaults to 12.
	TargetsPerService int
	// ServiceTime is the median service time of a target; it defaults to 5 ms.
	ServiceTime time.Duration
	// Services limits the targets to these services; empty means all.
	Services []string
	// TLS enables mutual TLS between the nodes with generated keys and certificates.
	TLS bool
	// Prepare, if set, may modify the settings of each node before they are written.
	Prepare func(*NodePlan)
	// LogLevel is the log level of the nodes; it defaults to info.
	LogLevel config.Level
}

// Plan lists the processes of a deployment.
type Plan struct {
	PlanConfig
	Name   string
	Ticket model.Ticket
	// TicketPath is the path of the first ticket.
	TicketPath string
	Nodes      []NodePlan
	Targets    []TargetPlan
}

// NodePlan describes a node; Path is its settings file.
type NodePlan struct {
	Settings config.Settings
	Path     string
}

// TargetPlan describes a target; Node is the index of the node that it announces itself to.
type TargetPlan struct {
	Service string
	ID      string
	Slots   int
	Node    int
	Address string
	Control string
	// Records is the file to which the target writes its run records, so that they survive a crash.
	Records string
}

// LoadPlan reads the example settings and the first ticket of a deployment and replaces all addresses by loopback
// addresses.
func LoadPlan(examples string, c PlanConfig) (*Plan, error) {
	if c.TargetsPerService == 0 {
		c.TargetsPerService = 12
	}
	if c.ServiceTime == 0 {
		c.ServiceTime = 5 * time.Millisecond
	}
	if c.LogLevel == "" {
		c.LogLevel = config.LevelInfo
	}
	p := &Plan{PlanConfig: c, Name: filepath.Base(examples)}
	if err := p.loadTicket(examples); err != nil {
		return nil, err
	}
	if err := p.loadNodes(examples); err != nil {
		return nil, err
	}
	p.planTargets()
	if c.TLS {
		if err := p.issueCertificates(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// PlatformControl returns the address of the control endpoint of the platform stand-in.
func (p *Plan) PlatformControl() string {
	return p.address(0, controlPort)
}

func (p *Plan) loadTicket(examples string) error {
	p.TicketPath = filepath.Join(examples, ticketFile)
	data, err := os.ReadFile(p.TicketPath)
	if err != nil {
		return eris.Wrap(err, "read first ticket")
	}
	p.Ticket, err = ticket.Parse(p.TicketPath, data)
	return err
}

func (p *Plan) loadNodes(examples string) error {
	files, err := filepath.Glob(filepath.Join(examples, "*.yaml"))
	if err != nil {
		return eris.Wrap(err, "list example settings")
	}
	slices.Sort(files)
	for _, file := range files {
		if strings.HasPrefix(filepath.Base(file), "ticket") {
			continue
		}
		settings, err := config.Load(file)
		if err != nil {
			return err
		}
		p.addNode(settings)
	}
	for i := range p.Nodes {
		p.Nodes[i].Settings.Seeds = []string{p.address(1, peersPort), p.address(3, peersPort), p.address(5, peersPort)}
	}
	return nil
}

func (p *Plan) addNode(s *config.Settings) {
	host := len(p.Nodes) + 1
	s.Listeners = config.Listeners{
		Callers: p.address(host, callersPort),
		Relay:   p.address(host, relayPort),
		Peers:   p.address(host, peersPort),
		Local:   p.address(host, localPort),
		Admin:   p.address(host, adminPort),
	}
	s.Platform = config.Platform{
		TableEndpoint:   "http://" + p.address(0, tablePort),
		ObjectEndpoint:  "http://" + p.address(0, objectPort),
		Region:          config.DefaultPlatformRegion,
		AccessKeyID:     accessKey,
		SecretAccessKey: secretKey,
		Table:           platformName,
		Bucket:          platformName,
	}
	s.FleetSecretFile, s.OperatorTokenFile = "", ""
	s.ShutdownTimeout = model.Duration(shutdownTimeout)
	s.LogLevel = p.LogLevel
	p.Nodes = append(p.Nodes, NodePlan{Settings: *s, Path: filepath.Join(p.Directory, s.Node.ID+".yaml")})
}

// planTargets distributes the targets of each service evenly over the nodes.
func (p *Plan) planTargets() {
	perNode := make([]int, len(p.Nodes))
	for s, spec := range p.Ticket.Services {
		if len(p.Services) > 0 && !slices.Contains(p.Services, spec.Name) {
			continue
		}
		for i := range p.TargetsPerService {
			node := (i + s) % len(p.Nodes)
			id := fmt.Sprintf("%s-%02d", spec.Name, i+1)
			p.Targets = append(p.Targets, TargetPlan{
				Service: spec.Name,
				ID:      id,
				Records: filepath.Join(p.Directory, id+".records"),
				Slots:   p.slots(),
				Node:    node,
				Address: p.address(node+1, targetPort+perNode[node]),
				Control: p.address(node+1, targetControlPort+perNode[node]),
			})
			perNode[node]++
		}
	}
}

// slots returns the number of slots per target in the example deployment.
func (p *Plan) slots() int {
	if p.Name == "kleefwerk" {
		return 3
	}
	return 7
}

func (p *Plan) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", p.Network, host, port)
}

// writeAllSettings calls Prepare and writes the settings file of each node.
func (p *Plan) writeAllSettings() error {
	for i := range p.Nodes {
		if p.Prepare != nil {
			p.Prepare(&p.Nodes[i])
		}
		if err := p.WriteSettings(i); err != nil {
			return err
		}
	}
	return nil
}

// WriteSettings writes the settings file of one node; they take effect when the node is restarted.
func (p *Plan) WriteSettings(node int) error {
	n := p.Nodes[node]
	data, err := yaml.Marshal(n.Settings)
	if err != nil {
		return eris.Wrapf(err, "encode settings of %s", n.Settings.Node.ID)
	}
	return eris.Wrapf(os.WriteFile(n.Path, data, fileMode), "write settings of %s", n.Settings.Node.ID)
}
