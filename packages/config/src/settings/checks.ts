/** Checks of settings that concern more than one key. */
import type {InstanceSettings} from '@mustardferry/model';

import {isLoopback, parseIpAddress} from './addresses.js';

/** A contradiction between settings; the file name is added by the caller. */
export interface SettingsContradiction {
  readonly section: string;
  readonly key: string;
  readonly reason: string;
}

type Report = (section: string, key: string, reason: string) => void;

function checkInstance(settings: InstanceSettings, report: Report): void {
  const self = settings.instances.find(item => item.name === settings.name);
  if (self === undefined) {
    report('instance', 'name', `"${settings.name}" is not in [instances]`);
    return;
  }
  if (self.dataCentre !== settings.dataCentre) {
    report(
      'instance',
      'data_centre',
      `is "${settings.dataCentre}", but [instances] says "${self.dataCentre}"`,
    );
  }
  if (self.disk !== (settings.dataFolder !== '')) {
    const listed = self.disk ? 'disk' : 'no-disk';
    report(
      'instance',
      'data_folder',
      `must be ${self.disk ? 'given' : 'empty'}, as [instances] says "${listed}"`,
    );
  }
}

function checkAddresses(settings: InstanceSettings, report: Report): void {
  const seen = new Map<string, string>();
  for (const {name, address} of settings.instances) {
    const other = seen.get(address);
    if (other !== undefined) {
      report('instances', name, `has the same address as "${other}"`);
    }
    seen.set(address, name);
  }
}

function checkVoters(settings: InstanceSettings, report: Report): void {
  const seen = new Set<string>();
  for (const voter of settings.controlVoters) {
    const instance = settings.instances.find(item => item.name === voter);
    if (instance === undefined) {
      report('control', 'voters', `"${voter}" is not in [instances]`);
    } else if (!instance.disk) {
      report('control', 'voters', `"${voter}" has no disk`);
    }
    if (seen.has(voter)) report('control', 'voters', `"${voter}" is repeated`);
    seen.add(voter);
  }
}

function checkTiming(settings: InstanceSettings, report: Report): void {
  // One lost heartbeat must not start an election.
  if (settings.electionTimeoutMs <= 2 * settings.heartbeatMs) {
    report(
      'timing',
      'election_timeout_ms',
      'must be more than twice heartbeat_ms',
    );
  }
  if (settings.upstreamExpiryMs <= settings.upstreamRenewalMs) {
    report(
      'timing',
      'upstream_expiry_ms',
      'must be more than upstream_renewal_ms',
    );
  }
}

function checkTokens(settings: InstanceSettings, report: Report): void {
  const listen = parseIpAddress(settings.listen);
  if (listen === undefined || isLoopback(listen.ip)) return;
  for (const [key, tokens] of Object.entries(settings.tokens)) {
    if (tokens.length === 0) {
      report(
        'tokens',
        key,
        `is required, as ${settings.listen} is not a loopback address`,
      );
    }
  }
}

/** All contradictions in settings that are valid key by key. */
export function findContradictions(
  settings: InstanceSettings,
): readonly SettingsContradiction[] {
  const found: SettingsContradiction[] = [];
  const report: Report = (section, key, reason) =>
    found.push({section, key, reason});
  checkInstance(settings, report);
  checkAddresses(settings, report);
  checkVoters(settings, report);
  checkTiming(settings, report);
  checkTokens(settings, report);
  return found;
}
