package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// gateway is one process of the system.
type gateway struct {
	name      string
	zone      string
	callers   string
	peers     string
	readiness string
	directory string
	settings  string
	command   *exec.Cmd
	ended     chan struct{}
	// started is when the process was last started.
	started time.Time
}

const (
	// lowestPort and portCount are the ports of the gateways. They lie below those that the system gives to outgoing channels, which
	// could take a port between its choice and its use.
	lowestPort = 12000
	portCount  = 18000
	portTries  = 1000
)

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(count int) ([]string, error) {
	var list []string
	for range portTries {
		if len(list) == count {
			return list, nil
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return nil, fmt.Errorf("found %d of %d free ports", len(list), count)
}

// newGateways prepares the settings of gateways from the template of the deploy file.
func newGateways(folder, storeAddress string, zones []string, count int) ([]*gateway, error) {
	template, err := os.ReadFile("deploy/instance.yaml")
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(5 * count)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, addresses[5*i+1])
	}
	var list []*gateway
	for i := range count {
		a := addresses[5*i : 5*i+5]
		g := &gateway{
			name:      fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1),
			zone:      zones[i%len(zones)],
			callers:   a[0],
			peers:     a[1],
			readiness: a[2],
			directory: a[3],
			settings:  filepath.Join(folder, fmt.Sprintf("gateway-%d.yaml", i)),
		}
		text := strings.NewReplacer(
			"{{nodeName|json}}", quote(g.name), "{{zone|json}}", quote(g.zone), "{{region|json}}", quote("region"),
			"{{listenAddresses.frontend|json}}", quote(g.callers), "{{listenAddresses.control|json}}", quote(g.peers),
			"{{listenAddresses.readiness|json}}", quote(g.readiness), "{{listenAddresses.directory|json}}", quote(g.directory),
			"{{platform.address|json}}", quote(storeAddress), "{{seeds|json}}", quote(seeds),
			`"{{ip}}:{{internalPorts.0}}"`, quote(a[4]), "{{limits.cpuShare}}", "0.4", "{{bounds.gracePeriodS}}", "8",
			"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindowS}}", "10", "{{bounds.budgetExtraRetries}}", "104",
		).Replace(string(template))
		if strings.Contains(text, "{{") {
			return nil, fmt.Errorf("the template has a placeholder that the stand-in doesn't know:\n%s", text)
		}
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		list = append(list, g)
	}
	return list, nil
}

func quote(v any) string {
	text, _ := json.Marshal(v)
	return string(text)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(n names) error {
	output, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command("target/bergamothollow", "gateway")
	g.command.Env = []string{n.Settings + "=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.command.Stdout = output
	g.command.Stderr = output
	if err := g.command.Start(); err != nil {
		return err
	}
	g.started = time.Now()
	g.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		_ = output.Close()
		close(ended)
	}(g.command, g.ended)
	return nil
}

// ready asks the readiness check.
func (g *gateway) ready(n names) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.readiness+n.Ready, nil)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// maxQuoted is how much of a log is quoted, in bytes.
const maxQuoted = 600

// waitReady waits until all gateways are ready.
func waitReady(n names, list []*gateway, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, g := range list {
		for !g.ready(n) {
			if time.Now().After(end) {
				log, _ := os.ReadFile(g.settings + ".log")
				return fmt.Errorf("%s isn't ready after %s; the end of its log: %s", g.name, limit, log[max(0, len(log)-maxQuoted):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startAll starts all processes; the caller must call killAll.
func startAll(p *play, gateways []*gateway) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways = gateways
	for _, g := range gateways {
		if err := g.start(p.names); err != nil {
			return err
		}
	}
	return nil
}

func killAll(gateways []*gateway) {
	for _, g := range gateways {
		if g.command != nil && g.command.Process != nil {
			_ = g.command.Process.Kill()
		}
	}
	for _, g := range gateways {
		if g.ended != nil {
			<-g.ended
		}
	}
}
