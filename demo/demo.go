// Package demo shows both example deployments at work: it starts their
// processes on the loopback interface, sends a mix of requests, kills an agent
// meanwhile and tells what became of every request.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/testbed"
)

// Sizes and times of the demo.
const (
	readyTimeout = 15 * time.Second
	// killAfter is how long requests run before the agent is killed.
	killAfter = 1500 * time.Millisecond
	// sendFor is how long requests are sent.
	sendFor = 6 * time.Second
	slots   = 16
)

// Options say where the demo finds its files.
type Options struct {
	// Bin is the folder of the programs.
	Bin string
	// Examples is the folder of the example manifests.
	Examples string
	// Logs is the folder that takes the logs of the processes.
	Logs string
}

// Run shows both deployments and writes what happened. It fails when a
// request got no final answer, or one that contradicts its outcome.
func Run(ctx context.Context, options Options, out io.Writer) error {
	tally := newTally()
	for _, d := range deployments() {
		fmt.Fprintf(out, "== %s: 2 entries, %d agents\n", d.name, d.engines+d.services)
		if err := show(ctx, d, options, tally, out); err != nil {
			return err
		}
	}
	tally.print(out)
	return tally.verdict()
}

// show runs one deployment.
func show(ctx context.Context, d deployment, options Options, tally *tally, out io.Writer) error {
	bed, err := testbed.New(options.Bin, filepath.Join(options.Logs, d.name))
	if err != nil {
		return err
	}
	defer bed.Close()
	site, err := d.start(ctx, bed, options)
	if err != nil {
		return err
	}
	send(ctx, d, site, tally, out)
	return printWay(site, tally.longestWay(d.name), out)
}

// send lets all callers send until the time is over and kills an agent on the
// way.
func send(ctx context.Context, d deployment, site *site, tally *tally, out io.Writer) {
	sending, cancel := context.WithTimeout(ctx, sendFor)
	defer cancel()
	var callers sync.WaitGroup
	for _, kind := range d.kinds {
		callers.Go(func() { kind.caller(d, site, tally).run(sending) })
	}
	timer := time.NewTimer(killAfter)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		fmt.Fprintf(out, "killing agent %s\n", site.victim.Name)
		site.victim.Kill()
	}
	callers.Wait()
}

// site is a running deployment.
type site struct {
	entries []*testbed.Process
	agents  []*testbed.Process
	victim  *testbed.Process
}

// start starts the processes of the deployment and waits until they serve.
func (d deployment) start(ctx context.Context, bed *testbed.Deployment, options Options) (*site, error) {
	manifest, err := os.ReadFile(filepath.Join(options.Examples, d.name+".yaml"))
	if err != nil {
		return nil, eris.Wrap(err, "demo: manifest")
	}
	if err := bed.Publish(manifest); err != nil {
		return nil, err
	}
	s := &site{}
	for i := range d.engines + d.services {
		agent, err := d.startAgent(bed, i)
		if err != nil {
			return nil, err
		}
		s.agents = append(s.agents, agent)
	}
	s.victim = s.agents[0]
	for i := range 2 {
		entry, err := bed.StartEntry(testbed.EntrySpec{VM: fmt.Sprintf("%s-entry-%d", d.name, i+1), DataCentre: d.dataCentre(i)})
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, entry)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return s, bed.AwaitReady(ctx, append(s.agents, s.entries...)...)
}

// startAgent starts a backend server and the agent beside it. The model
// engines come first.
func (d deployment) startAgent(bed *testbed.Deployment, i int) (*testbed.Process, error) {
	agent := testbed.AgentSpec{VM: fmt.Sprintf("%s-agent-%d", d.name, i+1), DataCentre: d.dataCentre(i), Slots: slots}
	name := fmt.Sprintf("%s-backend-%d", d.name, i+1)
	var err error
	if i < d.engines {
		agent.Models = d.model
		agent.Backend, err = bed.Start(name, "sesame-standin", "engine",
			"--slots", fmt.Sprint(slots), "--step-time", "10ms", "--mean-tokens", "60", "--seed", fmt.Sprint(i+1))
	} else {
		agent.Services = d.service
		agent.Backend, err = bed.Start(name, "sesame-standin", "service")
	}
	if err != nil {
		return nil, err
	}
	return bed.StartAgent(agent)
}
