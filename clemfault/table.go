// Package clemfault defines the fault matrix: scenarios, the steps at which a fault
// may be injected, the faults, and the promises that must hold in every cell. Its
// tests run every cell; docs/FAULTS.md is generated from this table and their
// result.
package clemfault

// Scenario is a kind of work that the matrix runs under faults.
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

// Step is a point in a scenario at which a fault is injected.
type Step struct {
	name     string
	scenario Scenario
	doc      string
}

// Name returns the step's name, unique within its scenario.
func (s Step) Name() string { return s.name }

// Scenario returns the scenario that the step belongs to.
func (s Step) Scenario() Scenario { return s.scenario }

// Doc returns what happens at the step.
func (s Step) Doc() string { return s.doc }

// Fault is a kind of failure.
type Fault struct {
	name string
	doc  string
	// impossible holds the reasons why the fault cannot occur in a scenario.
	impossible map[Scenario]string
}

// Name returns the fault's name.
func (f Fault) Name() string { return f.name }

// Doc returns what the fault does.
func (f Fault) Doc() string { return f.doc }

// Impossible returns the reason why the fault cannot occur in the scenario, or "" if
// it can.
func (f Fault) Impossible(s Scenario) string { return f.impossible[s] }

// Names of the steps.
const (
	StepOffer       = "offer"
	StepClaim       = "claim"
	StepClaimed     = "claimed"
	StepDispatch    = "dispatch"
	StepFirstEvent  = "first"
	StepMidStream   = "middle"
	StepRunDone     = "ran"
	StepHalfAnswer  = "half"
	StepVerdict     = "verdict"
	StepRead        = "read"
	StepWrite       = "write"
	StepWritten     = "written"
	StepPull        = "pull"
	StepStart       = "start"
	StepIncarnation = "number"
	StepListed      = "listed"
)

// Steps returns every step of the matrix, the steps of a scenario mostly in the order
// of time.
func Steps() []Step {
	return []Step{
		{StepOffer, Chat, "the entry's offer is on the way to the sidecar"},
		{StepDispatch, Chat, "the sidecar hands the work to the engine"},
		{StepVerdict, Chat, "the sidecar's verdict is on the way back"},
		{StepFirstEvent, Chat, "the engine produced the first event"},
		{StepMidStream, Chat, "the engine is in the middle of the stream"},
		{StepRunDone, Chat, "the engine produced the last event"},
		{StepOffer, Reserve, "the entry's offer is on the way to the sidecar"},
		{StepClaim, Reserve, "the claim is about to be written"},
		{StepClaimed, Reserve, "the claim was written, its answer is on the way"},
		{StepDispatch, Reserve, "the sidecar hands the call to the service"},
		{StepVerdict, Reserve, "the sidecar's verdict is on the way back"},
		{StepRunDone, Reserve, "the service has run the call, its answer is on the way"},
		{StepHalfAnswer, Reserve, "half of the answer has arrived"},
		{StepWrite, Reserve, "the outcome is about to be written"},
		{StepWritten, Reserve, "the outcome was written, its answer is on the way"},
		{StepRead, Change, "the newest generation is being read"},
		{StepWrite, Change, "the change is about to be written"},
		{StepWritten, Change, "the change was written, its answer is on the way"},
		{StepPull, Change, "a process reports to its parent or asks it for the change"},
		{StepStart, Join, "a sidecar starts"},
		{StepIncarnation, Join, "its incarnation is about to be written"},
		{StepPull, Join, "it asks a peer or the table for the configuration"},
		{StepListed, Leave, "the platform lists the host as leaving while work runs"},
		{StepOffer, Crowd, "many callers' offers are on the way"},
		{StepDispatch, Crowd, "a sidecar of a full pool hands work to its engine"},
		{StepMidStream, Crowd, "every slot of the pool is in the middle of a stream"},
		{StepMidStream, Leave, "the sidecar was told to stop and its stream is in the middle"},
	}
}

// Names of the faults.
const (
	FaultKillEntry       = "kill entry"
	FaultKillSidecar     = "kill sidecar"
	FaultKillBackend     = "kill backend"
	FaultKillHost        = "kill sidecar and backend"
	FaultFreezeEntry     = "freeze entry"
	FaultFreezeSidecar   = "freeze sidecar"
	FaultKillWriter      = "kill writer"
	FaultFreezeWriter    = "freeze writer"
	FaultCutToSidecar    = "cut one way, to the sidecar"
	FaultCutFromSidecar  = "cut one way, from the sidecar"
	FaultCutBothWays     = "cut both ways"
	FaultDelay           = "delay"
	FaultLostAnswer      = "lost answer"
	FaultDuplicate       = "duplicate"
	FaultStoreDown       = "store down"
	FaultStoreSlow       = "store slow"
	FaultStoreLostAnswer = "store loses an answer"
	FaultStoreLateWrite  = "store writes late"
	FaultClockStep       = "clock step"
	FaultListFlaps       = "list flaps"
	FaultRacingOperators = "racing operators"
	FaultStopEntry       = "stop entry"
	FaultStopSidecar     = "stop sidecar"
	FaultStopBoth        = "stop entry and sidecar"
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
		{FaultFreezeSidecar, "the sidecar stops for 15 s and goes on", nil},
		{FaultKillWriter, "the process that reached the step, such as the owner of the claim's bucket, dies and is back after 5 s", nil},
		{FaultFreezeWriter, "the process that reached the step stops for 15 s and goes on", nil},
		{FaultCutToSidecar, "messages to the sidecar are lost for 5 s", nil},
		{FaultCutFromSidecar, "answers of the sidecar are lost for 5 s", nil},
		{FaultCutBothWays, "messages and answers of the sidecar are lost for 5 s", nil},
		{FaultDelay, "messages take 400 ms more for 5 s", nil},
		{FaultLostAnswer, "the next answer of the sidecar is lost", map[Scenario]string{Change: offer}},
		{FaultDuplicate, "the next message to the sidecar arrives twice", map[Scenario]string{Change: offer}},
		{FaultStoreDown, "the platform's table is down for 30 s", nil},
		{FaultStoreSlow, "each call of the table takes 2 s more for 10 s", nil},
		{FaultStoreLostAnswer, "the next write takes effect and its answer is lost", nil},
		{FaultStoreLateWrite, "the next write answers with an error and takes effect 2 s later", nil},
		{FaultClockStep, "the wall clock steps", map[Scenario]string{Chat: clock, Reserve: clock, Change: clock, Join: clock, Leave: clock, Crowd: clock}},
		{FaultListFlaps, "the host list drops the backend server for 5 s, twice", nil},
		{FaultRacingOperators, "two operators change the same pool at once", nil},
		{FaultStopEntry, "the entry is told to shut down gracefully, twice", nil},
		{FaultStopSidecar, "the sidecar is told to shut down gracefully, twice", nil},
		{FaultStopBoth, "entry and sidecar are told to shut down gracefully", nil},
	}
}
