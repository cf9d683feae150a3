package catalog

import "encoding/json"

// Config is one version of the configuration. It isn't changed once made.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"backends"`
	Limits   Limits    `json:"limits"`

	text    string   // as sent, or as put together from what was sent
	members []member // of text
	routes  []string // of text, in the order of Routes
	backs   []string // of text, in the order of Services
}

// Route says what becomes of the requests to a host whose path begins with a prefix.
type Route struct {
	Name          string  `json:"name" validate:"required"`
	Host          string  `json:"host" validate:"required"`
	PathPrefix    string  `json:"pathPrefix" validate:"startswith=/"`
	Type          string  `json:"type"`
	Service       string  `json:"backend" validate:"required"`
	Priority      int     `json:"priority" validate:"gte=0"`      // 0 is the highest
	TargetMs      float64 `json:"targetMs" validate:"gte=0"`      // aim for the answer to the client
	StartTargetMs float64 `json:"startTargetMs" validate:"gte=0"` // aim for the start of a run
	TimeoutMs     float64 `json:"timeoutMs" validate:"gt=0"`      // of one delivery
	Retries       int     `json:"retries" validate:"gte=0"`       // failed attempts after which a message is dead
	Ordered       bool    `json:"fifo"`                           // messages with the same key run one after the other
	RetentionS    float64 `json:"retentionS" validate:"gte=0"`    // a message ends so long after it was sent
	CallbackURL   bool    `json:"callbackUrl"`
}

// Service is a kind of worker.
type Service struct {
	Name       string  `json:"name" validate:"required"`
	HealthPath string  `json:"healthPath" validate:"omitempty,startswith=/"`
	MaxConns   int     `json:"maxConns" validate:"gte=0"` // connections that a worker takes from all callers
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	RatePerS   float64 `json:"ratePerS" validate:"gte=0"` // 0: no ceiling
	Idempotent bool    `json:"idempotent"`
	Pull       bool    `json:"pull"`
	Endpoint   string  `json:"endpoint"` // address of a service that is on no list; empty: it is on the platform's list
}

// Limits bound what a client may send. Zero is no bound.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes" validate:"gte=0"`
	MaxBodyBytes    int     `json:"maxBodyBytes" validate:"gte=0"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs" validate:"gte=0"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs" validate:"gte=0"`
}

// Parse reads and checks a complete configuration. The error is of type Findings and names all that is wrong.
func Parse(document []byte) (*Config, error) {
	text, findings := readable(document)
	if findings != nil {
		return nil, findings
	}
	return parse(text, &reader{})
}

// Load reads a configuration that was checked before, as one that the control plane has taken. It costs a fraction of Parse, since
// it leaves out the checks of single fields; types and the checks between items remain.
func Load(document []byte) (*Config, error) {
	text, findings := readable(document)
	if findings != nil {
		return nil, findings
	}
	return parse(text, &reader{checked: true})
}

func parse(text string, r *reader) (*Config, error) {
	c := r.config(text)
	if len(r.findings) == 0 {
		r.crossCheck(c)
	}
	if err := r.result(); err != nil {
		return nil, err
	}
	return c, nil
}

// Document is the configuration as JSON. Parse makes an equal Config of it.
func (c *Config) Document() []byte {
	if c.text != "" {
		return []byte(c.text)
	}
	document, err := json.Marshal(c) // made in the program, not read
	if err != nil {
		return nil // no field can fail but a number that is not finite
	}
	return document
}
