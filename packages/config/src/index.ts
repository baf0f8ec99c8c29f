export {NAME_PATTERN} from './fields.js';
export {
  AnswersError,
  ConfigError,
  type ConfigProblem,
  formatProblem,
  nearestName,
  SettingsError,
  unknownNameReason,
} from './problems.js';
export {
  KIND_SCHEMA,
  type KindAnswers,
  MAX_ANSWERS_BYTES,
  parseAnswers,
  type Preference,
  TEAM_SCHEMA,
  type TeamAnswers,
} from './questionnaire/answers.js';
export {checkContradictions} from './questionnaire/contradictions.js';
export {diffPolicies} from './questionnaire/policy_diff.js';
export {
  DEFAULT_TARGET_MS,
  formatPolicy,
  generatePolicy,
  WASTED_MESSAGE_COST_MS,
} from './questionnaire/policy_generator.js';
export {
  type QuestionnaireOptions,
  writeQuestionnaire,
} from './questionnaire/template.js';
export {
  SECTION_NAMES,
  SETTINGS_KEYS,
  type SettingsKey,
} from './settings/schema.js';
export {
  formatSettings,
  loadSettings,
  parseSettings,
} from './settings/settings_file.js';
