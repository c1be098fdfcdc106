package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// gateway is one process of the system.
type gateway struct {
	name      string
	callers   string
	directory string
	readiness string
	settings  string
	log       string
	command   *exec.Cmd
	done      chan error
}

// placeholder matches the template's placeholders.
var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// render fills the template of the settings as the platform does, without sections: none of them is open here.
func render(template string, values map[string]any) string {
	if i := strings.Index(template, "{{#"); i >= 0 {
		template = template[:i]
	}
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		v, known := values[parts[1]]
		if !known {
			panic("the template asks for " + parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(v)
		}
		text, _ := json.Marshal(v)
		return string(text)
	})
}

// newGateways writes the settings of n gateways in three zones.
func newGateways(n int, folder, storeAddress string, share float64) ([]*gateway, error) {
	template, err := os.ReadFile("deploy/instance.yaml")
	if err != nil {
		return nil, err
	}
	var list []*gateway
	var seeds []string
	var control []string
	for i := range n {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		control = append(control, address)
		if i < 3 {
			seeds = append(seeds, address)
		}
	}
	for i := range n {
		g := &gateway{
			name: fmt.Sprintf("frontend-%d", i+1),
		}
		values := map[string]any{
			"nodeName": g.name, "zone": zones[i%3], "region": "gulf-maine", "seeds": seeds, "platform.address": storeAddress,
			"limits.cpuShare": share, "bounds.gracePeriodS": 8, "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10,
			"bounds.budgetExtraRetries": 104, "faultTolerance.zones": 1, "ip": "127.0.0.1", "listenAddresses.control": control[i],
		}
		for key, address := range map[string]*string{
			"listenAddresses.frontend": &g.callers, "listenAddresses.directory": &g.directory, "listenAddresses.readiness": &g.readiness,
		} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
			values[key] = *address
		}
		metrics, err := freeAddress()
		if err != nil {
			return nil, err
		}
		values["internalPorts.0"] = strings.TrimPrefix(metrics, "127.0.0.1:")
		g.settings = filepath.Join(folder, g.name+".yaml")
		g.log = filepath.Join(folder, g.name+".log")
		if err := os.WriteFile(g.settings, []byte(render(string(template), values)), 0o600); err != nil {
			return nil, err
		}
		list = append(list, g)
	}
	return list, nil
}

var zones = []string{"north-pier", "fish-wharf", "cannery-row"}

// start runs the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command("target/bergamothollow", "gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings_variable"] + "=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	g.done = make(chan error, 1)
	command, done := g.command, g.done
	go func() {
		done <- command.Wait()
		_ = log.Close()
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

func (g *gateway) waitReady() error {
	client := http.Client{
		Timeout: time.Second,
	}
	for range 200 {
		response, err := client.Get("http://" + g.readiness + names["ready_path"])
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready", g.name)
}

// stop ends the process.
func (g *gateway) stop() {
	if g.command == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	select {
	case <-g.done:
	case <-time.After(5 * time.Second):
	}
}
