// Package demo runs both example deployments: it starts their processes on the
// loopback interface, sends a mix of requests, kills an agent while requests are in
// flight, and reports the outcomes of all requests by class.
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

const (
	// readyTimeout bounds the wait until all processes of a deployment are ready.
	readyTimeout = 15 * time.Second
	// killDelay is the time between the first requests and the kill of the agent.
	killDelay = 1500 * time.Millisecond
	// sendDuration is how long callers send requests.
	sendDuration = 6 * time.Second
	// slots is the maximum number of concurrent runs of each backend server.
	slots = 16
)

// Options holds the folders that the demo uses.
type Options struct {
	// Bin is the folder with the programs.
	Bin string
	// Examples is the folder with the example manifests.
	Examples string
	// Logs is the folder for the logs of the processes.
	Logs string
}

// Run runs both deployments and writes the results to out. It returns an error if
// a response is wrong (see row) or if no request of a class completed.
func Run(ctx context.Context, options Options, out io.Writer) error {
	tally := newTally()
	for _, d := range exampleDeployments() {
		fmt.Fprintf(out, "== %s: 2 entries, %d agents\n", d.name, d.engines+d.services)
		if err := runDeployment(ctx, d, options, tally, out); err != nil {
			return err
		}
	}
	tally.print(out)
	return tally.check()
}

// runDeployment runs one deployment and prints the time line of its slowest
// request.
func runDeployment(ctx context.Context, d exampleDeployment, options Options, tally *tally, out io.Writer) error {
	testDeployment, err := testbed.New(options.Bin, filepath.Join(options.Logs, d.name))
	if err != nil {
		return err
	}
	defer testDeployment.Close()
	running, err := d.start(ctx, testDeployment, options)
	if err != nil {
		return err
	}
	sendRequests(ctx, d, running, tally, out)
	return printTimeline(running, tally.slowestRequestID(d.name), out)
}

// sendRequests lets all callers send requests for sendDuration. It kills an agent
// after killDelay.
func sendRequests(ctx context.Context, d exampleDeployment, running *runningDeployment, tally *tally, out io.Writer) {
	sendCtx, cancel := context.WithTimeout(ctx, sendDuration)
	defer cancel()
	var callers sync.WaitGroup
	for _, k := range d.kinds {
		callers.Go(func() { k.newCaller(d, running, tally).run(sendCtx) })
	}
	timer := time.NewTimer(killDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		fmt.Fprintf(out, "killing agent %s\n", running.killedAgent.Name)
		running.killedAgent.Kill()
	}
	callers.Wait()
}

// runningDeployment holds the processes of a deployment.
type runningDeployment struct {
	entries []*testbed.Process
	agents  []*testbed.Process
	// killedAgent is the agent that is killed while requests are sent.
	killedAgent *testbed.Process
}

// start starts the processes of the deployment and waits until they are ready.
func (d exampleDeployment) start(ctx context.Context, testDeployment *testbed.Deployment, options Options) (*runningDeployment, error) {
	manifest, err := os.ReadFile(filepath.Join(options.Examples, d.name+".yaml"))
	if err != nil {
		return nil, eris.Wrap(err, "demo: read manifest")
	}
	if err := testDeployment.Publish(manifest); err != nil {
		return nil, err
	}
	running := &runningDeployment{}
	for i := range d.engines + d.services {
		agent, err := d.startAgent(testDeployment, i)
		if err != nil {
			return nil, err
		}
		running.agents = append(running.agents, agent)
	}
	running.killedAgent = running.agents[0]
	for i := range 2 {
		entry, err := testDeployment.StartEntry(testbed.EntrySpec{VM: fmt.Sprintf("%s-entry-%d", d.name, i+1), DataCentre: d.dataCentre(i)})
		if err != nil {
			return nil, err
		}
		running.entries = append(running.entries, entry)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return running, testDeployment.AwaitReady(ctx, append(running.agents, running.entries...)...)
}

// startAgent starts backend server i and its agent. The first d.engines backend
// servers are model engines, the others plain services.
func (d exampleDeployment) startAgent(testDeployment *testbed.Deployment, i int) (*testbed.Process, error) {
	spec := testbed.AgentSpec{VM: fmt.Sprintf("%s-agent-%d", d.name, i+1), DataCentre: d.dataCentre(i), Slots: slots}
	name := fmt.Sprintf("%s-backend-%d", d.name, i+1)
	var err error
	if i < d.engines {
		spec.Models = d.model
		spec.Backend, err = testDeployment.Start(name, "sesame-standin", "engine",
			"--slots", fmt.Sprint(slots), "--step-time", "10ms", "--mean-tokens", "60", "--seed", fmt.Sprint(i+1))
	} else {
		spec.Services = d.service
		spec.Backend, err = testDeployment.Start(name, "sesame-standin", "service")
	}
	if err != nil {
		return nil, err
	}
	return testDeployment.StartAgent(spec)
}
