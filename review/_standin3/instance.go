package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bergamothollow.example/bergamothollow/platform"
)

const (
	program  = "target/bergamothollow"
	template = "deploy/instance.yaml"
	// readyTime bounds the time from the start of an instance until it is ready.
	readyTime = 10 * time.Second
	// memoryMegabytes is the memory of a machine of the smallest installation.
	memoryMegabytes = 284
)

// The ports are below those that Linux gives to outgoing connections; each instance has a loopback address of its own.
const (
	callersPort   = 18227
	readinessPort = 18220
	peersPort     = 18229
	directoryPort = 18224
	metricsPort   = 17340
)

var zones = []string{"north-pier", "fish-wharf", "cannery-row"}

// instance is one process of the system.
type instance struct {
	name     string
	ip       string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func (i *instance) address(port int) string {
	return fmt.Sprintf("%s:%d", i.ip, port)
}

// newInstances writes the settings of some instances to a temporary folder. Their addresses differ from those of another script that
// runs at the same time.
func newInstances(folder, storeAddress string, number int) ([]*instance, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	var list []*instance
	var seeds []string
	for n := range number {
		i := &instance{
			name: fmt.Sprintf("frontend-%s-1", zones[n%len(zones)]),
			ip:   fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%200, 10+n),
		}
		list = append(list, i)
		seeds = append(seeds, i.address(peersPort))
	}
	for n, i := range list {
		if err := i.checkPorts(); err != nil {
			return nil, err
		}
		settings := render(string(text), map[string]any{
			"nodeName": i.name, "zone": zones[n%len(zones)], "region": "gulf-maine", "ip": i.ip, "seeds": seeds,
			"listenAddresses": map[string]any{
				"frontend": i.address(callersPort), "readiness": i.address(readinessPort), "control": i.address(peersPort),
				"directory": i.address(directoryPort),
			},
			"internalPorts":  []any{metricsPort, metricsPort + 15},
			"limits":         map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMegabytes},
			"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"gracePeriodS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtraRetries": 104,
			},
			"platform": map[string]any{"address": storeAddress},
		})
		i.settings = filepath.Join(folder, i.name+".yaml")
		if err := os.WriteFile(i.settings, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		if i.log, err = os.Create(filepath.Join(folder, i.name+".log")); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (i *instance) checkPorts() error {
	for _, port := range []int{callersPort, readinessPort, peersPort, directoryPort, metricsPort} {
		l, err := net.Listen("tcp", i.address(port))
		if err != nil {
			return err
		}
		_ = l.Close()
	}
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)

// render fills in the template. Its only section is for fields that a small deployment doesn't have.
func render(text string, fields map[string]any) string {
	if before, rest, found := strings.Cut(text, "{{#cloudApi.dutyPerS}}"); found {
		_, after, _ := strings.Cut(rest, "{{/cloudApi.dutyPerS}}")
		text = before + after
	}
	return placeholder.ReplaceAllStringFunc(text, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value := lookUp(fields, parts[1])
		if s, ok := value.(string); ok && parts[2] == "" {
			return s
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(encoded)
	})
}

func lookUp(fields map[string]any, path string) any {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			n, err := strconv.Atoi(name)
			if err != nil || n >= len(v) {
				return nil
			}
			value = v[n]
		}
	}
	return value
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	command := exec.Command(program, "gateway")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + i.settings,
	}
	command.Stdout, command.Stderr = i.log, i.log
	// The process ends with this one, whatever happens.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.command, i.ended = command, ended
	i.mu.Unlock()
	go func() {
		// The process is killed at the end.
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// stop kills the process and waits for its end.
func (i *instance) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	// It may have ended by itself.
	_ = i.command.Process.Kill()
	<-i.ended
}

// running reports whether the process hasn't ended.
func (i *instance) running() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.ended:
		return false
	default:
		return true
	}
}

// resident returns the resident memory of the process in bytes.
func (i *instance) resident() (int64, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	var kilobytes int64
	_, line, _ := strings.Cut(string(text), "\nVmRSS:")
	_, err = fmt.Sscan(line, &kilobytes)
	return kilobytes << 10, err
}

func (i *instance) ready() bool {
	client := http.Client{
		Timeout:   time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	response, err := client.Get("http://" + i.address(readinessPort) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (i *instance) waitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %s", i.name, readyTime)
}
