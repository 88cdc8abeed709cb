package settings

import (
	"encoding/json"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/juju/errors"

	"github.com/briarturn/briarturn/config"
)

// Role is the role of a process.
type Role string

// Roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	// RoleGateway serves routed HTTP requests in front of backend servers.
	RoleGateway Role = "gateway"
)

// Settings is the settings file of one process.
type Settings struct {
	Role     Role      `json:"role" validate:"required,oneof=entry agent gateway"`
	Name     string    `json:"name" validate:"required,name"` // name of the VM
	Zone     string    `json:"zone" validate:"required,name"`
	Region   string    `json:"region" validate:"required,name"`
	Listen   Listen    `json:"listen"`
	Platform ObjectAPI `json:"platform"`
	Log      Log       `json:"log"`
	Entry    *Entry    `json:"entry,omitempty"`   // with role entry only
	Agent    *Agent    `json:"agent,omitempty"`   // with role agent only
	Gateway  *Gateway  `json:"gateway,omitempty"` // with role gateway only
}

// Listen holds the addresses on which the process listens and at which other
// processes reach it, all IP:PORT.
type Listen struct {
	HTTP     string `json:"http,omitempty" validate:"omitempty,addrport"`  // for callers; not for an agent
	Ready    string `json:"ready,omitempty" validate:"omitempty,addrport"` // readiness checks of the load balancer; gateway only
	RPC      string `json:"rpc,omitempty" validate:"omitempty,addrport"`   // optional for a gateway
	Datagram string `json:"datagram" validate:"required,addrport"`
	Admin    string `json:"admin" validate:"required,addrport"` // metrics, health, readiness
}

// ObjectAPI configures the process's calls to the object API of the platform.
type ObjectAPI struct {
	Address         string          `json:"address" validate:"required,http_url"`
	CallTimeout     config.Duration `json:"call_timeout" validate:"min=10ms,max=1m"`
	ReadsPerSecond  float64         `json:"reads_per_second" validate:"gt=0,lte=10000"`
	WritesPerSecond float64         `json:"writes_per_second" validate:"gt=0,lte=10000"`
}

// Log configures logging.
type Log struct {
	Level  string `json:"level" validate:"oneof=error warning info debug"`
	Format string `json:"format" validate:"oneof=json text"`
}

// Load reads and validates a settings file. If the contents are invalid, the error
// lists all errors (config.FieldErrorsOf).
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "step read settings")
	}
	s, err := Parse(data)
	return s, errors.Annotatef(err, "step read settings of %s", path)
}

// Parse is like Load for the contents of a file.
func Parse(data []byte) (*Settings, error) {
	s := withDefaults(peekRole(data))
	if err := config.Decode(data, s); err != nil {
		return nil, err
	}
	return s, nil
}

// peekRole returns the role, which determines the section that gets defaults. It
// ignores errors, since Decode reports them.
func peekRole(data []byte) Role {
	var head struct {
		Role Role `json:"role"`
	}
	_ = json.Unmarshal(data, &head)
	return head.Role
}

func init() { config.RegisterStructValidation(checkSettings, Settings{}) }

func checkSettings(sl validator.StructLevel) {
	s := sl.Current().Interface().(Settings)
	checkListen(sl, s)
	if s.Role != RoleGateway && s.Gateway != nil {
		config.ReportError(sl, s.Gateway, "gateway", "Gateway", "is for role gateway only")
	}
	if s.Role == RoleEntry && s.Listen.HTTP == "" {
		config.ReportError(sl, s.Listen.HTTP, "listen.http", "Listen", "is required for role entry")
	}
	if s.Role != RoleEntry && s.Entry != nil {
		config.ReportError(sl, s.Entry, "entry", "Entry", "is for role entry only")
	}
	if s.Role != RoleAgent && s.Agent != nil {
		config.ReportError(sl, s.Agent, "agent", "Agent", "is for role agent only")
	}
	if s.Role == RoleAgent && s.Listen.HTTP != "" {
		config.ReportError(sl, s.Listen.HTTP, "listen.http", "Listen", "is for role entry only")
	}
}

// checkListen checks that the addresses for the role are set.
func checkListen(sl validator.StructLevel, s Settings) {
	if s.Role != RoleGateway && s.Listen.RPC == "" {
		config.ReportError(sl, s.Listen.RPC, "listen.rpc", "Listen", "is required")
	}
	if s.Role != RoleGateway && s.Listen.Ready != "" {
		config.ReportError(sl, s.Listen.Ready, "listen.ready", "Listen", "is for role gateway only")
	}
	if s.Role == RoleGateway && s.Listen.HTTP == "" {
		config.ReportError(sl, s.Listen.HTTP, "listen.http", "Listen", "is required for role gateway")
	}
	if s.Role == RoleGateway && s.Listen.Ready == "" {
		config.ReportError(sl, s.Listen.Ready, "listen.ready", "Listen", "is required for role gateway")
	}
}
