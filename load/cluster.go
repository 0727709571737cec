package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/standin/engine"
	"github.com/sesameswitch/sesameswitch/testbed"
)

const (
	modelName = "model"
	// readyTimeout bounds the wait until all agents and entries are ready.
	readyTimeout = 20 * time.Second
	// engineQueueCapacity is the queue capacity of an engine, in requests.
	engineQueueCapacity = 4096
	// maxResponseTokens is the maximum length of responses in the manifest, far
	// above all requested lengths.
	maxResponseTokens = 100_000
)

// apiKey returns the API key of an account of a scenario.
func apiKey(account string) string { return "key-of-" + account }

// buildManifest returns the manifest for a scenario.
func buildManifest(s *Scenario) ([]byte, error) {
	doc := manifest.Manifest{
		Version:    1,
		Deployment: "experiment",
		Models:     []manifest.Model{{Name: modelName, MaxTokens: maxResponseTokens}},
	}
	route := manifest.Route{Model: modelName}
	for i := range s.Classes {
		doc.Classes = append(doc.Classes, s.Classes[i].Class)
		route.Classes = append(route.Classes, s.Classes[i].Name)
	}
	doc.Routes = []manifest.Route{route}
	for _, account := range s.Accounts {
		hash := sha256.Sum256([]byte(apiKey(account.Name)))
		doc.Accounts = append(doc.Accounts, manifest.ClientAccount{
			Name:      account.Name,
			KeyHashes: []string{hex.EncodeToString(hash[:])},
			Weight:    account.Weight,
		})
	}
	return json.Marshal(doc)
}

// cluster holds the processes of a scenario. Agent i belongs to engine i.
type cluster struct {
	deployment *testbed.Deployment
	engines    []*testbed.Process
	agents     []*testbed.Process
	entries    []*testbed.Process
}

// startCluster starts all processes of a scenario and waits until they are
// ready. The caller must close the deployment of the returned cluster.
func startCluster(ctx context.Context, s *Scenario, bin, logs, policy string) (*cluster, error) {
	deployment, err := testbed.New(bin, logs)
	if err != nil {
		return nil, err
	}
	c := &cluster{deployment: deployment}
	if err := c.start(ctx, s, policy); err != nil {
		deployment.Close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context, s *Scenario, policy string) error {
	document, err := buildManifest(s)
	if err != nil {
		return err
	}
	if err := c.deployment.Publish(document); err != nil {
		return err
	}
	for i := range s.Engines.Count {
		if err := c.startEngineAndAgent(s, i, policy); err != nil {
			return err
		}
	}
	for i := range s.Entries {
		entry, err := c.deployment.StartEntry(testbed.EntrySpec{VM: fmt.Sprintf("entry-%d", i), DataCentre: "dc1", Policy: policy})
		if err != nil {
			return err
		}
		c.entries = append(c.entries, entry)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return c.deployment.AwaitReady(ctx, append(append([]*testbed.Process{}, c.agents...), c.entries...)...)
}

// startEngineAndAgent starts an engine and its agent. The engine listens on a
// fixed address, which it keeps when it is restarted.
func (c *cluster) startEngineAndAgent(s *Scenario, i int, policy string) error {
	address, err := testbed.FreeAddress()
	if err != nil {
		return err
	}
	e := &s.Engines
	standIn, err := c.deployment.Start(fmt.Sprintf("engine-%d", i), "sesame-standin", "engine",
		"--listen", address,
		"--models", modelName,
		"--slots", strconv.Itoa(e.Slots),
		"--max-waiting", strconv.Itoa(engineQueueCapacity),
		"--step-time", e.StepTime.String(),
		"--step-growth", strconv.FormatFloat(e.StepGrowth, 'g', -1, 64),
		"--first-token", e.FirstToken.String(),
		"--prompt-token", e.PromptToken.String(),
		"--load-lag", e.LoadLag.String(),
	)
	if err != nil {
		return err
	}
	c.engines = append(c.engines, standIn)
	agent, err := c.deployment.StartAgent(testbed.AgentSpec{
		VM: fmt.Sprintf("agent-%d", i), DataCentre: "dc1", Backend: standIn,
		Models: modelName, Slots: e.Slots, Policy: policy,
	})
	if err != nil {
		return err
	}
	c.agents = append(c.agents, agent)
	return nil
}

// engineCounters reads the counters of one engine, without its list of runs.
func (c *cluster) engineCounters(ctx context.Context, i int) (engine.Counters, error) {
	var report engine.CounterReport
	url := "http://" + c.engines[i].Address("") + "/admin/counters?runs=0"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return report.Counters, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report.Counters, eris.Wrap(err, "read engine counters")
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&report)
	return report.Counters, eris.Wrap(err, "read engine counters")
}

// allEngineCounters reads the counters of all engines. The counters of an engine
// that does not respond are zero.
func (c *cluster) allEngineCounters(ctx context.Context) []engine.Counters {
	all := make([]engine.Counters, len(c.engines))
	var group errgroup.Group
	for i := range c.engines {
		group.Go(func() error {
			var err error
			all[i], err = c.engineCounters(ctx, i)
			return err
		})
	}
	_ = group.Wait() // a killed engine does not respond
	return all
}
