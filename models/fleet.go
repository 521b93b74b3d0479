package models

import "time"

// ChangeStep is the progress of a change of an engine's role or models.
type ChangeStep string

// Steps of a change, in order. An engine in StepBroken waits to be replaced.
const (
	StepSteady   ChangeStep = "steady"
	StepDraining ChangeStep = "draining" // no new work; running requests finish
	StepChanging ChangeStep = "changing" // role and models are being changed
	StepChecking ChangeStep = "checking" // in service; answers are verified
	StepBroken   ChangeStep = "broken"
)

// DesiredEngine is the desired state of an engine. Its row in PartitionFleet is
// written only under the engine lease of its zone.
type DesiredEngine struct {
	Engine         EngineID
	Zone           Zone
	Role           Role
	PreviousRole   Role    // restored if the change fails
	Models         []Model // loaded, sorted
	PreviousModels []Model // restored if the change fails
	Step           ChangeStep
	Since          time.Time // start of the step, by the writer's clock
	PendingOrder   Order     // issued last; empty ID: none
	OrderCount     int       // orders issued so far, used to generate order IDs
	Attempts       int       // orders issued in the current step
	WrongAnswers   bool      // the engine has given wrong answers
	Why            string
}
