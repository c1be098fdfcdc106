package configurer

import (
	"crypto/ed25519"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Settings are the settings of an instance, a gateway or the operator commands.
type Settings struct {
	Instance   namer.Instance   `yaml:"instance"`
	DataCentre namer.DataCentre `yaml:"data_centre"`
	Region     string           `yaml:"region"`
	Cell       namer.Cell       `yaml:"cell"`
	Listen     Addresses        `yaml:"listen"`
	Advertise  Addresses        `yaml:"advertise"`
	Platform   Platform         `yaml:"platform"`
	// Seeds are the addresses of peers that provide the bundle and the members if the store is unreachable at the start.
	Seeds              []string                           `yaml:"seeds"`
	Operator           string                             `yaml:"operator"`
	Approvers          map[string]ed25519.PublicKey       `yaml:"approvers"`
	Bounds             Bounds                             `yaml:"bounds"`
	Times              Times                              `yaml:"times"`
	DataCentreDistance map[namer.DataCentre]time.Duration `yaml:"datacentre_distance"`
	Gateway            Gateway                            `yaml:"gateway"`
	Duties             Duties                             `yaml:"duties"`
}

// Duties are the calls to the platform that one gateway makes at a time. Without an address there are none.
type Duties struct {
	Address string `yaml:"address"`
	// Asked are the names of the duties that the platform asks for; unknown ones are left alone.
	Asked []string `yaml:"asked"`
	// CallsPerSecond is how many such calls the platform accepts from all gateways together.
	CallsPerSecond float64 `yaml:"calls_per_second"`
	// Lease is how long the duties stay with a gateway that doesn't renew them.
	Lease time.Duration `yaml:"lease"`
	// ReportWindow is the length of a window of the usage reports, and ReportDelay how long after its end a report is due.
	ReportWindow time.Duration `yaml:"report_window"`
	ReportDelay  time.Duration `yaml:"report_delay"`
}

// Gateway holds the additional settings of a gateway, an instance on the users' platform.
type Gateway struct {
	// Readiness, Directory and Metrics are the host:port pairs on which the readiness check, the address responses and
	// the metrics are served.
	Readiness string `yaml:"readiness"`
	Directory string `yaml:"directory"`
	Metrics   string `yaml:"metrics"`
	// ProcessorShare is the number of cores that the instance may use, like 0.4. Instances with a small share are elected
	// leader last.
	ProcessorShare float64 `yaml:"processor_share"`
	// GracePeriod is the longest time between the stop signal and the exit of the process.
	GracePeriod time.Duration `yaml:"grace_period"`
	// RetryRatio and RetryExtra are the retry budget of all instances together: within RetryWindow they may retry this
	// share of their requests, plus RetryExtra.
	RetryRatio  float64       `yaml:"retry_ratio"`
	RetryWindow time.Duration `yaml:"retry_window"`
	RetryExtra  int           `yaml:"retry_extra"`
	// AddressValidity is how long callers may cache an address response.
	AddressValidity time.Duration `yaml:"address_validity"`
	// WatchWait is how long one watch call of the store waits. A connection that stops responding delays changes by at
	// least this time.
	WatchWait time.Duration `yaml:"watch_wait"`
	// MemoryBytes is the soft memory limit of the garbage collector.
	MemoryBytes int `yaml:"memory_bytes"`
	// ProcessMegabytes is the memory that the process may use, in units of 1,048,576 bytes, if the machine has as much.
	ProcessMegabytes int `yaml:"process_megabytes"`
	// Crossing is what traffic between data centres costs its operators.
	Crossing Crossing `yaml:"crossing"`
	// IdleEngines is the number of idle engines that may be paid for each one that callers lack, where the number of engines can be ordered.
	IdleEngines float64 `yaml:"idle_engines"`
	// LostDataCentres is the number of data centres whose engines may be lost while the others serve on.
	LostDataCentres int `yaml:"lost_data_centres"`
}

// Crossing is what it costs that a request leaves its data centre, as the time by which its answer may begin later to avoid that. With
// both at 0, all data centres are alike.
type Crossing struct {
	// Wait is the time for each request, and WaitPerMegabyte that for each million bytes of its body.
	Wait            time.Duration `yaml:"wait"`
	WaitPerMegabyte time.Duration `yaml:"wait_per_megabyte"`
}

// Addresses are host:port pairs, one for callers and one for peers.
type Addresses struct {
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
}

// Platform is the address, the timeout and the call budget of the platform's object API.
type Platform struct {
	Address        string        `yaml:"address"`
	Timeout        time.Duration `yaml:"timeout"`
	CallsPerSecond float64       `yaml:"calls_per_second"`
}

// Bounds limit the memory, the request sizes, the queues and the concurrency of an instance.
type Bounds struct {
	HeldBytesPerRequest  int `yaml:"held_bytes_per_request"`
	HeldBytesPerCustomer int `yaml:"held_bytes_per_customer"`
	HeldBytesPerProcess  int `yaml:"held_bytes_per_process"`
	QueuePerModel        int `yaml:"queue_per_model"`
	BodyBytes            int `yaml:"body_bytes"`
	HeaderBytes          int `yaml:"header_bytes"`
	TrafficWorkers       int `yaml:"traffic_workers"`
}

// Times are the intervals and timeouts of an instance.
type Times struct {
	Heartbeat       time.Duration `yaml:"heartbeat"`
	MemberRenewal   time.Duration `yaml:"member_renewal"`
	Isolation       time.Duration `yaml:"isolation"`
	AddressValidity time.Duration `yaml:"address_validity"`
	LeavingMargin   time.Duration `yaml:"leaving_margin"`
	RefusalFlush    time.Duration `yaml:"refusal_flush"`
	ReaderStall     time.Duration `yaml:"reader_stall"`
	Reconcile       time.Duration `yaml:"reconcile"`
}

// Sizes in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Defaults returns the values of the keys that a file does not set.
func Defaults() Settings {
	return Settings{
		Cell: "main",
		Platform: Platform{
			Timeout:        time.Second,
			CallsPerSecond: 20,
		},
		Bounds: Bounds{
			HeldBytesPerRequest:  256 * kibibyte,
			HeldBytesPerCustomer: 8 * mebibyte,
			HeldBytesPerProcess:  64 * mebibyte,
			QueuePerModel:        1000,
			// Large enough for a prompt of a million tokens of up to 15 bytes.
			BodyBytes:      16 * mebibyte,
			HeaderBytes:    16 * kibibyte,
			TrafficWorkers: 4096,
		},
		Times: Times{
			Heartbeat:       time.Second,
			MemberRenewal:   3 * time.Second,
			Isolation:       3 * time.Second,
			AddressValidity: 10 * time.Second,
			LeavingMargin:   time.Second,
			RefusalFlush:    2 * time.Second,
			ReaderStall:     10 * time.Second,
			Reconcile:       2 * time.Second,
		},
		Gateway: Gateway{
			ProcessorShare:   1,
			GracePeriod:      8 * time.Second,
			RetryRatio:       0.2,
			RetryWindow:      10 * time.Second,
			RetryExtra:       100,
			AddressValidity:  time.Second,
			WatchWait:        2 * time.Second,
			MemoryBytes:      64 * mebibyte,
			ProcessMegabytes: 256,
			IdleEngines:      4,
		},
		Duties: Duties{
			CallsPerSecond: 10,
			Lease:          3 * time.Second,
			ReportWindow:   time.Minute,
			ReportDelay:    time.Minute,
		},
	}
}
