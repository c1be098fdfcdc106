package namer

import "strings"

// Instance is the name of an instance of the serving layer.
type Instance string

// Incarnation distinguishes processes that run under the same instance name one after another.
type Incarnation string

// DataCentre is the name of a data centre.
type DataCentre string

// Cell is the name of a group of targets and the instances that own them.
type Cell string

// Customer is the name of a customer.
type Customer string

// Target is the name of a target, a back end that serves requests.
type Target string

// Model is the name of a model.
type Model string

// Service is the name of a service.
type Service string

// Part identifies a part of a prompt; requests whose prompts share it name the same part.
type Part string

// PartNames returns parts as texts, for logs.
func PartNames(parts []Part) []string {
	names := make([]string, 0, len(parts))
	for _, p := range parts {
		names = append(names, string(p))
	}
	return names
}

// Request is the id of a caller's request.
type Request string

// Epoch is a fencing token: it increases with each change of a target's owner.
type Epoch int64

// Holder identifies one process: an instance and its incarnation.
type Holder struct {
	Instance    Instance
	Incarnation Incarnation
}

// String returns the form used on the wire, instance/incarnation.
func (h Holder) String() string {
	return string(h.Instance) + "/" + string(h.Incarnation)
}

// MarshalText returns the form of String, or nothing for an unset holder.
func (h Holder) MarshalText() ([]byte, error) {
	if h.IsZero() {
		return nil, nil
	}
	return []byte(h.String()), nil
}

// UnmarshalText parses the form returned by MarshalText.
func (h *Holder) UnmarshalText(text []byte) error {
	*h = ParseHolder(string(text))
	return nil
}

// IsZero reports whether the holder is unset.
func (h Holder) IsZero() bool {
	return h.Instance == "" && h.Incarnation == ""
}

// ParseHolder parses the form returned by String.
func ParseHolder(text string) Holder {
	instance, incarnation, _ := strings.Cut(text, "/")
	return Holder{
		Instance:    Instance(instance),
		Incarnation: Incarnation(incarnation),
	}
}
