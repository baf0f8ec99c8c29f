/** All commands, in the order in which the help lists them. */
import type {Command} from './command.js';
import {answersApplyCommand} from './commands/answers_apply.js';
import {answersShowCommand} from './commands/answers_show.js';
import {auditListCommand} from './commands/audit_list.js';
import {auditVerifyCommand} from './commands/audit_verify.js';
import {configShowCommand} from './commands/config_show.js';
import {drainCommand} from './commands/drain.js';
import {
  evacuationEndCommand,
  evacuationStartCommand,
} from './commands/evacuation_order.js';
import {evacuationShowCommand} from './commands/evacuation_show.js';
import {explainCommand} from './commands/explain.js';
import {instancesCommand} from './commands/instances.js';
import {jobCancelCommand} from './commands/job_cancel.js';
import {jobSubmitCommand} from './commands/job_submit.js';
import {jobWatchCommand} from './commands/job_watch.js';
import {questionnaireCheckCommand} from './commands/questionnaire_check.js';
import {questionnaireDiffCommand} from './commands/questionnaire_diff.js';
import {questionnaireGenerateCommand} from './commands/questionnaire_generate.js';
import {questionnaireWriteCommand} from './commands/questionnaire_write.js';
import {runCommand} from './commands/run.js';
import {sharesCommand} from './commands/shares.js';
import {upstreamsCommand} from './commands/upstreams.js';
import {versionCommand} from './commands/version.js';

export const COMMANDS: readonly Command[] = [
  runCommand,
  questionnaireWriteCommand,
  questionnaireCheckCommand,
  questionnaireGenerateCommand,
  questionnaireDiffCommand,
  answersApplyCommand,
  answersShowCommand,
  configShowCommand,
  jobSubmitCommand,
  jobWatchCommand,
  jobCancelCommand,
  upstreamsCommand,
  instancesCommand,
  drainCommand,
  evacuationStartCommand,
  evacuationEndCommand,
  evacuationShowCommand,
  auditListCommand,
  auditVerifyCommand,
  sharesCommand,
  explainCommand,
  versionCommand,
];

/** Summaries of the first words that group several commands. */
export const GROUP_SUMMARIES: Readonly<Record<string, string>> = {
  questionnaire: 'Write, check and compare questionnaires',
  answers: 'Submit and show the answers of teams',
  config: 'Show the configuration in force',
  job: 'Submit, watch and cancel jobs',
  evacuation: 'Evacuate and readmit data centres',
  audit: 'List and verify the audit trail',
};
