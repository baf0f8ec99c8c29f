/** Reading and writing of the settings file of an instance. */
import {readFile} from 'node:fs/promises';

import type {InstanceSettings} from '@mustardferry/model';

import {formatIniValue, type IniDocument, parseIni} from '../ini_text.js';
import {SettingsError} from '../problems.js';
import {problemsOfIssues} from '../zod_problems.js';
import {findContradictions} from './checks.js';
import {
  FIXED_SECTIONS,
  SECTION_NAMES,
  SETTINGS_SCHEMA,
  type SettingsFile,
} from './schema.js';

function toSettings(file: SettingsFile): InstanceSettings {
  const {instance, records, timing, limits} = file;
  return {
    name: instance.name,
    dataCentre: instance.data_centre,
    listen: instance.listen,
    dataFolder: instance.data_folder,
    instances: Object.entries(file.instances).map(([name, item]) => ({
      name,
      ...item,
    })),
    controlVoters: file.control.voters,
    recordGroups: records.groups,
    recordRetentionMs: records.retention_ms,
    heartbeatMs: timing.heartbeat_ms,
    electionTimeoutMs: timing.election_timeout_ms,
    taskLeaseMs: timing.task_lease_ms,
    upstreamRenewalMs: timing.upstream_renewal_ms,
    upstreamExpiryMs: timing.upstream_expiry_ms,
    drainTimeoutMs: timing.drain_timeout_ms,
    logLevel: file.logging.level,
    statsd: file.metrics.statsd,
    tokens: file.tokens,
    limits: {
      maxBodyBytes: limits.max_body_bytes,
      maxHeaderBytes: limits.max_header_bytes,
      maxTasksPerJob: limits.max_tasks_per_job,
      maxQueuedTasks: limits.max_queued_tasks,
      maxConnections: limits.max_connections,
      maxWaitMs: limits.max_wait_ms,
      unknownUpstreamWaitMs: limits.unknown_upstream_wait_ms,
    },
    policies: file.policies,
  };
}

/** Sections as plain objects; absent ones are empty, so that defaults apply. */
function toObject(document: IniDocument): Record<string, unknown> {
  const result: Record<string, unknown> = {};
  for (const name of SECTION_NAMES) result[name] = {};
  for (const {name, values} of document.sections) {
    result[name] = Object.fromEntries(values);
  }
  return result;
}

function keysOf(section: string): readonly string[] {
  const schema = Object.entries(FIXED_SECTIONS).find(
    ([name]) => name === section,
  )?.[1];
  return schema === undefined ? [] : Object.keys(schema.shape);
}

/**
 * Parses the text of a settings file.
 *
 * @throws SettingsError with every problem found.
 */
export function parseSettings(
  text: string,
  fileName: string,
): InstanceSettings {
  const document = parseIni(text, fileName);
  const parsed = SETTINGS_SCHEMA.safeParse(toObject(document));
  if (!parsed.success) {
    const issues = problemsOfIssues(fileName, parsed.error.issues, {
      sections: SECTION_NAMES,
      keysOf,
    });
    throw new SettingsError([...document.problems, ...issues]);
  }
  const settings = toSettings(parsed.data);
  const problems = [
    ...document.problems,
    ...findContradictions(settings).map(found => ({file: fileName, ...found})),
  ];
  if (problems.length > 0) throw new SettingsError(problems);
  return settings;
}

/**
 * Reads and parses a settings file.
 *
 * @throws SettingsError when the file can't be read, is not UTF-8 or is invalid.
 */
export async function loadSettings(file: string): Promise<InstanceSettings> {
  let text: string;
  try {
    text = new TextDecoder('utf-8', {fatal: true}).decode(await readFile(file));
  } catch (cause) {
    const reason = `can't be read: ${cause instanceof Error ? cause.message : String(cause)}`;
    throw new SettingsError([{file, section: '', key: '', reason}], {cause});
  }
  return parseSettings(text, file);
}

function toSections(
  settings: InstanceSettings,
): Record<(typeof SECTION_NAMES)[number], Record<string, string | number>> {
  const {limits, tokens} = settings;
  return {
    instance: {
      name: settings.name,
      data_centre: settings.dataCentre,
      listen: settings.listen,
      data_folder: settings.dataFolder,
    },
    instances: Object.fromEntries(
      settings.instances.map(item => [
        item.name,
        `${item.address}, ${item.dataCentre}, ${item.disk ? 'disk' : 'no-disk'}`,
      ]),
    ),
    control: {voters: settings.controlVoters.join(', ')},
    records: {
      groups: settings.recordGroups,
      retention_ms: settings.recordRetentionMs,
    },
    timing: timingSection(settings),
    limits: limitsSection(limits),
    policies: {...settings.policies},
    tokens: {
      clients: tokens.clients.join(', '),
      operators: tokens.operators.join(', '),
      upstreams: tokens.upstreams.join(', '),
      instances: tokens.instances.join(', '),
    },
    logging: {level: settings.logLevel},
    metrics: {statsd: settings.statsd},
  };
}

function timingSection(settings: InstanceSettings): Record<string, number> {
  return {
    heartbeat_ms: settings.heartbeatMs,
    election_timeout_ms: settings.electionTimeoutMs,
    task_lease_ms: settings.taskLeaseMs,
    upstream_renewal_ms: settings.upstreamRenewalMs,
    upstream_expiry_ms: settings.upstreamExpiryMs,
    drain_timeout_ms: settings.drainTimeoutMs,
  };
}

function limitsSection(
  limits: InstanceSettings['limits'],
): Record<string, number> {
  return {
    max_body_bytes: limits.maxBodyBytes,
    max_header_bytes: limits.maxHeaderBytes,
    max_tasks_per_job: limits.maxTasksPerJob,
    max_queued_tasks: limits.maxQueuedTasks,
    max_connections: limits.maxConnections,
    max_wait_ms: limits.maxWaitMs,
    unknown_upstream_wait_ms: limits.unknownUpstreamWaitMs,
  };
}

/** Writes settings as a file that `parseSettings` reads back to the same value. */
export function formatSettings(settings: InstanceSettings): string {
  const sections = toSections(settings);
  return SECTION_NAMES.map(name => {
    const lines = Object.entries(sections[name]).map(
      ([key, value]) => `${key} = ${formatIniValue(String(value))}`,
    );
    return [`[${name}]`, ...lines, ''].join('\n');
  }).join('\n');
}
