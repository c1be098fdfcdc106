package namer

import "strings"

// Instance names one instance of the system.
type Instance string

// Incarnation tells apart two processes that ran under the same instance name.
type Incarnation string

// DataCentre names one data centre.
type DataCentre string

// Cell names a group of instances and targets that share ownership.
type Cell string

// Customer names one customer.
type Customer string

// Target names one back end.
type Target string

// Model names one model.
type Model string

// Service names one plain service.
type Service string

// Request names one request of a caller.
type Request string

// Epoch is a fencing number; it grows with each change of a target's owner.
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

// MarshalText writes the form of String, or nothing for an unset holder.
func (h Holder) MarshalText() ([]byte, error) {
	if h.IsZero() {
		return nil, nil
	}
	return []byte(h.String()), nil
}

// UnmarshalText reads the form written by MarshalText.
func (h *Holder) UnmarshalText(text []byte) error {
	*h = ParseHolder(string(text))
	return nil
}

// IsZero reports whether the holder is unset.
func (h Holder) IsZero() bool {
	return h.Instance == "" && h.Incarnation == ""
}

// ParseHolder reads the form written by String.
func ParseHolder(text string) Holder {
	instance, incarnation, _ := strings.Cut(text, "/")
	return Holder{
		Instance:    Instance(instance),
		Incarnation: Incarnation(incarnation),
	}
}
