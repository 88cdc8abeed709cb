package ctl

import "time"

// arguments are the command line.
type arguments struct {
	Apply      *applyCommand      `arg:"subcommand:apply" help:"create or change objects from files"`
	Get        *getCommand        `arg:"subcommand:get" help:"show objects of a kind"`
	Watch      *watchCommand      `arg:"subcommand:watch" help:"show changes of a kind as they come"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show the state of entries, or wait for a revision"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"drain an entry or a backend server"`
	Parts      *partsCommand      `arg:"subcommand:parts" help:"show the parts of prompts that are held or refused since servers died under them, or end that"`
	Evacuate   *evacuateCommand   `arg:"subcommand:evacuate" help:"evacuate an availability zone: nothing new is sent there until it is restored"`
	Report     *reportCommand     `arg:"subcommand:report" help:"reports: burn"`
	Load       *loadCommand       `arg:"subcommand:load" help:"send load and report what came of it"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"compare policies under the same load"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"tell from log files why a request ended as it did"`
	Summary    *summaryCommand    `arg:"subcommand:summary" help:"tell from log files how requests ended, by length, time, workspace and server"`
	Soak       *soakCommand       `arg:"subcommand:soak" help:"run entries as processes under faults, and check what is promised"`
	Capacity   *capacityCommand   `arg:"subcommand:capacity" help:"work out what each role needs, from measured slopes"`

	Platform string        `arg:"--platform,env:BRIARTURN_PLATFORM" placeholder:"URL" help:"the platform's object API"`
	Admin    []string      `arg:"--admin,separate,env:BRIARTURN_ADMIN" placeholder:"ADDRESS" help:"admin address of an entry or agent; may be repeated"`
	JSON     bool          `arg:"--json" help:"print JSON"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"limit for the whole command (not for watch, load, experiment and soak)"`
}

// Description implements arg.Described.
func (*arguments) Description() string {
	return "briarturnctl applies objects, shows the state of a briarturn fleet, and sends it load."
}

// Epilogue implements arg.Epilogued.
func (*arguments) Epilogue() string {
	text := "Examples:\n"
	for _, name := range []string{"apply", "get", "watch", "status", "drain", "parts", "evacuate", "report", "load", "experiment", "explain", "summary", "soak", "capacity"} {
		text += examples[name]
	}
	return text + `
Exit codes: 0 done; 1 failed, or a check did not hold; 2 wrong arguments or
input; 3 a peer was out of reach or the time ran out.`
}

// examples are printed by the help of each command.
var examples = map[string]string{
	"apply": "  briarturnctl --platform http://10.0.0.5:7000 apply -f examples/derwent\n",
	"get": "  briarturnctl get ModelPool\n" +
		"  briarturnctl get WorkspacePolicy appointments --json\n",
	"watch": "  briarturnctl watch Status\n",
	"status": "  briarturnctl --admin 10.0.1.1:7081 --admin 10.0.1.2:7081 status\n" +
		"  briarturnctl --admin 10.0.1.1:7081 status --wait 42 --timeout 10s\n",
	"drain": "  briarturnctl --admin 10.0.1.1:7081 drain entry-1 --wait --timeout 5m\n",
	"parts": "  briarturnctl --admin 10.0.1.1:7081 --admin 10.0.1.2:7081 parts\n" +
		"  briarturnctl --admin 10.0.1.1:7081 parts --release 5c1e07a2 --service pool --model m\n",
	"evacuate": "  briarturnctl evacuate zone-b\n" +
		"  briarturnctl --admin 10.0.1.1:7081 --admin 10.0.1.2:7081 evacuate zone-b --end --wait --timeout 10s\n",
	"report": "  briarturnctl --admin 10.0.1.1:7081 report burn --html burn.html\n",
	"load": "  briarturnctl load --target http://10.0.1.1:8080 --mix derwent --rate 40 --for 20s --seed 1\n" +
		"  briarturnctl load --target 127.0.0.1:9100 --direct --mix atlas --rate 5 --for 1m --slowdown\n",
	"experiment": "  briarturnctl experiment -f experiment.json --json\n",
	"explain": "  briarturnctl explain c17-000042.1 front-*.log\n" +
		"  zcat front-*.log.gz | briarturnctl explain c17-000042.1 -\n",
	"summary": "  briarturnctl summary front-*.log\n" +
		"  briarturnctl summary --window 10s --json front-*.log\n",
	"soak": "  briarturnctl soak --daemon ./briarturnd --seed 1 --seeds 50 --for 20s\n" +
		"  briarturnctl soak --daemon ./briarturnd --entries 40 --servers 30 --callers 200 --for 1m --json\n",
	"capacity": "  briarturnctl capacity --measure > docs/capacity-slopes.json\n" +
		"  briarturnctl capacity --slopes docs/capacity-slopes.json --page docs/CAPACITY.md\n" +
		"  briarturnctl capacity --sweep docs/capacity-sweep.json --page docs/CAPACITY.md\n",
}

type soakCommand struct {
	Daemon  string        `arg:"--daemon,required" placeholder:"FILE" help:"the program to run, briarturnd"`
	Seed    uint64        `arg:"--seed" default:"1" help:"the first seed"`
	Seeds   uint64        `arg:"--seeds" default:"1" help:"how many seeds"`
	For     time.Duration `arg:"--for" default:"20s" help:"faults and callers of each seed"`
	Entries int           `arg:"--entries" default:"4"`
	Servers int           `arg:"--servers" default:"4" help:"backend servers"`
	Callers int           `arg:"--callers" default:"24"`
	Dir     string        `arg:"--dir" default:"soak" help:"for settings and logs of seeds that broke a promise"`
	Keep    bool          `arg:"--keep" help:"keep those of all seeds"`
}

type applyCommand struct {
	Files  []string `arg:"-f,--file,required,separate" placeholder:"FILE|DIR" help:"JSON file, or a directory of them; may be repeated; - reads standard input"`
	DryRun bool     `arg:"--dry-run" help:"validate and show the changes, write nothing"`
}

type getCommand struct {
	Kind string `arg:"positional,required"`
	Name string `arg:"positional"`
}

type watchCommand struct {
	Kind string `arg:"positional,required"`
}

type statusCommand struct {
	Wait    uint64 `arg:"--wait" placeholder:"REVISION" help:"wait until this configuration revision is in force at each process"`
	Servers int    `arg:"--servers" placeholder:"N" help:"with --wait: wait also until each process is ready and each entry knows so many backend servers"`
}

type partsCommand struct {
	Release string `arg:"--release" placeholder:"ID" help:"end the refusal of this part, at all entries"`
	Service string `arg:"--service" help:"service of the part"`
	Model   string `arg:"--model" help:"model of the part"`
}

type drainCommand struct {
	Name string `arg:"positional,required" help:"entry or backend server"`
	Wait bool   `arg:"--wait" help:"wait until nothing runs there"`
}

type evacuateCommand struct {
	Zone string `arg:"positional,required" help:"availability zone"`
	End  bool   `arg:"--end" help:"restore the zone"`
	Wait bool   `arg:"--wait" help:"wait until each process named by --admin has it in force"`
}

type reportCommand struct {
	Burn *burnCommand `arg:"subcommand:burn" help:"service-level burn, merged from all entries"`
}

type burnCommand struct {
	HTML   string `arg:"--html" placeholder:"FILE" help:"write a page with a plot"`
	SVG    string `arg:"--svg" placeholder:"FILE" help:"write the plot"`
	Levels string `arg:"--levels" placeholder:"FILE" help:"service levels as JSON, in place of the ServiceLevel objects"`
	Check  bool   `arg:"--check" help:"exit with 1 if a level is at page"`
}

type fleetOptions struct {
	Engines      int   `arg:"--engines" help:"engines behind the target, for --factor and ideals"`
	PrefillRate  int64 `arg:"--prefill-rate" help:"tokens/s of one engine"`
	DecodeRate   int64 `arg:"--decode-rate" help:"tokens/s of one engine, whole batch"`
	MemoryTokens int64 `arg:"--memory-tokens" help:"memory of one engine, tokens"`
}

type loadCommand struct {
	Target    []string      `arg:"--target,required,separate" placeholder:"URL" help:"entry, or engine with --direct; may be repeated"`
	Mix       string        `arg:"--mix" default:"derwent" help:"derwent, atlas, derwent-flood or a file"`
	Model     string        `arg:"--model" help:"model name, in place of the mix's"`
	Rate      float64       `arg:"--rate" help:"requests/s"`
	Factor    float64       `arg:"--factor" help:"in place of --rate: part of the fleet's capacity"`
	For       time.Duration `arg:"--for" default:"20s" help:"time over which requests are sent"`
	Seed      uint64        `arg:"--seed" default:"1"`
	Direct    bool          `arg:"--direct" help:"the targets are engines: leave plain services out"`
	ShortOnly bool          `arg:"--short-only" help:"send only the requests under 4k tokens"`
	Slowdown  bool          `arg:"--slowdown" help:"run the short requests alone first, and compare"`
	Quiet     []string      `arg:"--quiet,separate" placeholder:"WORKSPACE" help:"run this workspace alone first, and compare; may be repeated"`
	InFlight  int           `arg:"--in-flight" help:"most requests at a time [default: 20000]"`
	fleetOptions
}

type explainCommand struct {
	Request string   `arg:"positional,required" placeholder:"ID" help:"the request's id, as its caller sent it"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"logs of gateways, in any order; - reads standard input"`
}

type summaryCommand struct {
	Window time.Duration `arg:"--window" default:"2s" help:"length of the stretches of time that are told apart"`
	Files  []string      `arg:"positional,required" placeholder:"FILE" help:"logs of gateways, in any order; - reads standard input"`
}

type experimentCommand struct {
	File string `arg:"-f,--file,required" help:"JSON: fleet, seconds, seed, cases of policy, target, mix, factor"`
}
