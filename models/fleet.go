package models

import "time"

// ChangeStep tells how far a change of an engine has come.
type ChangeStep string

// Steps of a change, in order; a broken engine waits to be replaced.
const (
	StepSteady   ChangeStep = "steady"
	StepDraining ChangeStep = "draining" // gets no new work, running requests end
	StepChanging ChangeStep = "changing" // orders of role and models are carried out
	StepChecking ChangeStep = "checking" // back at work, its answers are checked
	StepBroken   ChangeStep = "broken"
)

// DesiredEngine is what an engine ought to be: its row in PartitionFleet,
// written only under the lease of its zone.
type DesiredEngine struct {
	Engine       EngineID
	Zone         Zone
	Role         Role
	Former       Role    // to go back to where a change fails
	Models       []Model // loaded, sorted
	FormerModels []Model // to go back to where they fail
	Step         ChangeStep
	Since        time.Time // of the step, by its writer's clock
	Pending      Order     // given last; its ID is empty where none was
	Orders       int       // orders so far, for their identities
	Tries        int       // orders of the present step
	Wrong        bool      // it gave wrong answers
	Why          string
}
