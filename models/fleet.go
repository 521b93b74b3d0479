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
	Engine         EngineID
	Zone           Zone
	Role           Role
	PreviousRole   Role    // to go back to where a change fails
	Models         []Model // loaded, sorted
	PreviousModels []Model // to go back to where they fail
	Step           ChangeStep
	Since          time.Time // of the step, by its writer's clock
	PendingOrder   Order     // given last; its ID is empty where none was
	OrderCount     int       // orders so far, for their identities
	Attempts       int       // orders of the present step
	WrongAnswers   bool      // it gave wrong answers
	Why            string
}
