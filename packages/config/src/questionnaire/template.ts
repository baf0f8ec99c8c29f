/** The questionnaire that a team fills in when it joins. */
import {DEFAULT_TARGET_MS, WASTED_MESSAGE_COST_MS} from './policy_generator.js';

/** Names to prepare the questionnaire for; sample names are used otherwise. */
export interface QuestionnaireOptions {
  readonly team?: string;
  readonly kinds?: readonly string[];
}

function teamSection(team: string): string {
  return `[team]
; Name of the team: letters, digits, "_" and "-".
name = ${team}
; Share of scarce capacity in percent. All teams together have at most 100.
; Unused shares are lent to other teams and returned within a second.
share_percent = 10
; Most resources in use at once, in each data centre.
quota_slots = 64
quota_processors = 64
quota_memory_mb = 131072
; Optional, default 0.
quota_accelerators = 0
; What counts more when the two conflict: response-time or few-messages.
;   response-time: a second message is sent when it saves ${WASTED_MESSAGE_COST_MS['response-time']} ms or more.
;   few-messages:  a second message is sent when it saves ${WASTED_MESSAGE_COST_MS['few-messages']} ms or more.
prefer = response-time
; Retries and hedges allowed per 100 first starts. Optional, default 3.
retry_budget_percent = 3
`;
}

function kindSection(kind: string): string {
  return `[kind ${kind}]
; urgent, normal or background.
urgency = urgent
; yes when running a task twice does harm, for example takes money twice.
must_never_repeat = yes
; Response time that users expect. Required for urgent kinds; the default is
; ${DEFAULT_TARGET_MS.normal} for normal and ${DEFAULT_TARGET_MS.background} for background kinds.
target_ms = 500
; Usual run time of one task. A rough figure will do.
expected_run_ms = 100
; Size of one task. Slots, processors and accelerators have defaults: 1, 1, 0.
slots = 1
processors = 1
memory_mb = 512
accelerators = 0
; Most tasks of this kind waiting at one instance. Optional, default 10000.
queue_limit = 10000
; Optional: "hedging = yes" states that a late task may be started a second
; time, which is the default for kinds that may repeat.
`;
}

/** A commented questionnaire that is itself a valid answers file. */
export function writeQuestionnaire(options: QuestionnaireOptions = {}): string {
  const kinds = options.kinds ?? ['my-kind'];
  return [
    '; Questionnaire for one team. Replace the sample answers.\n; Check it with: mustardferry questionnaire check FILE\n',
    teamSection(options.team ?? 'my-team'),
    ...kinds.map(kindSection),
  ].join('\n');
}
