// Package clemfault is the fault matrix: the steps at which a fault may
// strike, the faults, and the promises that must hold in every cell. The
// tests run every cell; this table and their golden result make the page
// docs/FAULTS.md.
package clemfault

// Scenario is one kind of work that the matrix puts under faults.
type Scenario string

// The scenarios of the matrix.
const (
	Chat    Scenario = "chat"
	Reserve Scenario = "reserve"
	Change  Scenario = "change"
	Join    Scenario = "join"
	Leave   Scenario = "leave"
	Crowd   Scenario = "crowd"
)

// Scenarios returns every scenario of the matrix.
func Scenarios() []Scenario { return []Scenario{Chat, Reserve, Change, Join, Leave, Crowd} }

// Step is a point of a scenario at which a fault strikes.
type Step struct {
	name     string
	scenario Scenario
	doc      string
}

// Name returns the step's name, unique within its scenario.
func (s Step) Name() string { return s.name }

// Scenario returns the scenario that has the step.
func (s Step) Scenario() Scenario { return s.scenario }

// Doc returns what happens at the step.
func (s Step) Doc() string { return s.doc }

// Fault is one thing that fails.
type Fault struct {
	name string
	doc  string
	// impossible holds why the fault cannot strike in a scenario.
	impossible map[Scenario]string
}

// Name returns the fault's name.
func (f Fault) Name() string { return f.name }

// Doc returns what the fault does.
func (f Fault) Doc() string { return f.doc }

// Impossible returns why the fault cannot strike in the scenario, or "".
func (f Fault) Impossible(s Scenario) string { return f.impossible[s] }

// Names of the steps.
const (
	StepOffer    = "offer"
	StepClaim    = "claim"
	StepClaimed  = "claimed"
	StepDispatch = "dispatch"
	StepFirst    = "first"
	StepMiddle   = "middle"
	StepRan      = "ran"
	StepHalf     = "half"
	StepVerdict  = "verdict"
	StepRead     = "read"
	StepWrite    = "write"
	StepWritten  = "written"
	StepPull     = "pull"
	StepStart    = "start"
	StepNumber   = "number"
	StepListed   = "listed"
)

// Steps returns every step of the matrix, by scenario in the order of time.
func Steps() []Step {
	return []Step{
		{StepOffer, Chat, "the entry's offer is on the way to the sidecar"},
		{StepDispatch, Chat, "the sidecar hands the work to the engine"},
		{StepVerdict, Chat, "the sidecar's verdict is on the way back"},
		{StepFirst, Chat, "the engine produced the first event"},
		{StepMiddle, Chat, "the engine is in the middle of the stream"},
		{StepRan, Chat, "the engine produced the last event"},
		{StepOffer, Reserve, "the entry's offer is on the way to the sidecar"},
		{StepClaim, Reserve, "the claim is about to be written"},
		{StepClaimed, Reserve, "the claim was written, its answer is on the way"},
		{StepDispatch, Reserve, "the sidecar hands the call to the service"},
		{StepVerdict, Reserve, "the sidecar's verdict is on the way back"},
		{StepRan, Reserve, "the service has run the call, its answer is on the way"},
		{StepHalf, Reserve, "half of the answer has arrived"},
		{StepWrite, Reserve, "the outcome is about to be written"},
		{StepWritten, Reserve, "the outcome was written, its answer is on the way"},
		{StepRead, Change, "the newest generation is being read"},
		{StepWrite, Change, "the change is about to be written"},
		{StepWritten, Change, "the change was written, its answer is on the way"},
		{StepPull, Change, "a process reports to its parent or asks it for the change"},
		{StepStart, Join, "a sidecar starts"},
		{StepNumber, Join, "its incarnation is about to be written"},
		{StepPull, Join, "it asks a peer or the table for the configuration"},
		{StepListed, Leave, "the platform lists the host as leaving while work runs"},
		{StepOffer, Crowd, "many callers' offers are on the way"},
		{StepDispatch, Crowd, "a sidecar of a full pool hands work to its engine"},
		{StepMiddle, Crowd, "every slot of the pool is in the middle of a stream"},
		{StepMiddle, Leave, "the sidecar was told to stop and its stream is in the middle"},
	}
}

// Names of the faults.
const (
	FaultKillEntry    = "kill entry"
	FaultKillSidecar  = "kill sidecar"
	FaultKillBackend  = "kill backend"
	FaultKillHost     = "kill sidecar and backend"
	FaultFreezeEntry  = "freeze entry"
	FaultFreeze       = "freeze sidecar"
	FaultKillWriter   = "kill writer"
	FaultFreezeWriter = "freeze writer"
	FaultCutThere     = "cut one way, to the sidecar"
	FaultCutBack      = "cut one way, from the sidecar"
	FaultCut          = "cut both ways"
	FaultDelay        = "delay"
	FaultLostAnswer   = "lost answer"
	FaultDuplicate    = "duplicate"
	FaultStoreDown    = "store down"
	FaultStoreSlow    = "store slow"
	FaultStoreLost    = "store loses an answer"
	FaultStoreLate    = "store writes late"
	FaultClock        = "clock step"
	FaultList         = "list flaps"
	FaultOperators    = "racing operators"
	FaultStopEntry    = "stop entry"
	FaultStopSidecar  = "stop sidecar"
	FaultStopBothEnds = "stop entry and sidecar"
)

// Faults returns every fault of the matrix.
func Faults() []Fault {
	backend := "no backend server takes part in a change of configuration"
	offer := "a change sends no offer; pulls and beats only read or replace"
	clock := "durations are measured on the monotonic clock, which does not step; the age of a claim, the one use of wall time that decides anything, counts from the median of the claims' times, which the tests of clemclaim prove"
	return []Fault{
		{FaultKillEntry, "the entry dies and stays dead", nil},
		{FaultKillSidecar, "the sidecar dies and a new incarnation starts after 5 s", nil},
		{FaultKillBackend, "the backend server drops its work and is back after 5 s", map[Scenario]string{Change: backend}},
		{FaultKillHost, "both die and are back after 5 s", map[Scenario]string{Change: backend}},
		{FaultFreezeEntry, "the entry stops for 15 s and goes on", nil},
		{FaultFreeze, "the sidecar stops for 15 s and goes on", nil},
		{FaultKillWriter, "the process that reached the step, such as the owner of the claim's bucket, dies and is back after 5 s", nil},
		{FaultFreezeWriter, "the process that reached the step stops for 15 s and goes on", nil},
		{FaultCutThere, "messages to the sidecar are lost for 5 s", nil},
		{FaultCutBack, "answers of the sidecar are lost for 5 s", nil},
		{FaultCut, "messages and answers of the sidecar are lost for 5 s", nil},
		{FaultDelay, "messages take 400 ms more for 5 s", nil},
		{FaultLostAnswer, "the next answer of the sidecar is lost", map[Scenario]string{Change: offer}},
		{FaultDuplicate, "the next message to the sidecar arrives twice", map[Scenario]string{Change: offer}},
		{FaultStoreDown, "the platform's table is down for 30 s", nil},
		{FaultStoreSlow, "each call of the table takes 2 s more for 10 s", nil},
		{FaultStoreLost, "the next write takes effect and its answer is lost", nil},
		{FaultStoreLate, "the next write answers with an error and takes effect 2 s later", nil},
		{FaultClock, "the wall clock steps", map[Scenario]string{Chat: clock, Reserve: clock, Change: clock, Join: clock, Leave: clock, Crowd: clock}},
		{FaultList, "the host list drops the backend server for 5 s, twice", nil},
		{FaultOperators, "two operators change the same pool at once", nil},
		{FaultStopEntry, "the entry is told to shut down gracefully, twice", nil},
		{FaultStopSidecar, "the sidecar is told to shut down gracefully, twice", nil},
		{FaultStopBothEnds, "entry and sidecar are told to shut down gracefully", nil},
	}
}
