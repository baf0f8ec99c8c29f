/** Finds the log events and metrics that the sources emit, by their syntax. */
import {readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import ts from 'typescript';

/** Root folder of the workspace. */
export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));

/** One call that emits a log event or a sample. */
export interface Emission {
  readonly name: string;
  /** Name of the called method, which tells level or type. */
  readonly method: string;
  /** Names of the log fields or of the tags, sorted. */
  readonly members: readonly string[];
}

const LOG_METHODS = new Set(['debug', 'info', 'warn', 'error']);
const METRIC_METHODS = new Set(['increment', 'gauge', 'timing']);

function sourceFiles(): string[] {
  const packages = readdirSync(join(ROOT, 'packages'));
  return [...packages.map(name => `packages/${name}`), 'platform'].flatMap(
    part => {
      const folder = join(ROOT, part, 'src');
      return readdirSync(folder, {recursive: true, encoding: 'utf8'})
        .filter(file => file.endsWith('.ts'))
        .map(file => join(folder, file));
    },
  );
}

function createProgram(): ts.Program {
  const path = join(ROOT, 'tsconfig.base.json');
  const {config} = ts.readConfigFile(path, file => ts.sys.readFile(file));
  const {options} = ts.parseJsonConfigFileContent(config, ts.sys, ROOT);
  const noEmit = {noEmit: true, composite: false, declaration: false};
  return ts.createProgram(sourceFiles(), {...options, ...noEmit});
}

/** Literal values of an expression; a template yields one for each value. */
function literalsOf(node: ts.Expression, checker: ts.TypeChecker): string[] {
  if (ts.isStringLiteralLike(node)) return [node.text];
  if (!ts.isTemplateExpression(node)) {
    throw new Error(`${node.getText()}: the name is not a literal`);
  }
  let texts = [node.head.text];
  for (const {expression, literal} of node.templateSpans) {
    const type = checker.getTypeAtLocation(expression);
    const parts = type.isUnion() ? type.types : [type];
    const values = parts.map(part => {
      if (part.isStringLiteral()) return part.value;
      throw new Error(`${node.getText()}: the name has no finite set`);
    });
    texts = texts.flatMap(text =>
      values.map(value => `${text}${value}${literal.text}`),
    );
  }
  return texts;
}

function membersOf(
  node: ts.Expression | undefined,
  checker: ts.TypeChecker,
): string[] {
  if (node === undefined) return [];
  const properties = checker.getTypeAtLocation(node).getProperties();
  return properties.map(property => property.name).sort();
}

/** Name of the receiver: `logger` in both `logger.info` and `this.logger.info`. */
function receiverOf(node: ts.Expression): string {
  return ts.isPropertyAccessExpression(node) ? node.name.text : node.getText();
}

/** All log events and samples that the sources of the packages emit. */
export function findEmissions(): {
  readonly events: readonly Emission[];
  readonly metrics: readonly Emission[];
} {
  const program = createProgram();
  const checker = program.getTypeChecker();
  const events: Emission[] = [];
  const metrics: Emission[] = [];
  const note = (node: ts.CallExpression): void => {
    const {expression: callee, arguments: args} = node;
    const [first] = args;
    if (!ts.isPropertyAccessExpression(callee) || first === undefined) return;
    const method = callee.name.text;
    const receiver = receiverOf(callee.expression);
    const isLog = receiver === 'logger' && LOG_METHODS.has(method);
    if (!isLog && !(receiver === 'metrics' && METRIC_METHODS.has(method))) {
      return;
    }
    const members = membersOf(isLog ? args[1] : args[2], checker);
    for (const name of literalsOf(first, checker)) {
      (isLog ? events : metrics).push({name, method, members});
    }
  };
  const visit = (node: ts.Node): void => {
    if (ts.isCallExpression(node)) note(node);
    ts.forEachChild(node, visit);
  };
  const own = new Set(sourceFiles());
  for (const file of program.getSourceFiles()) {
    if (own.has(file.fileName)) visit(file);
  }
  return {events, metrics};
}
